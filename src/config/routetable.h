#ifndef HIBISCUS_CONFIG_ROUTETABLE_H
#define HIBISCUS_CONFIG_ROUTETABLE_H

#include "config/requestranks.h"
#include "config/routeconfiguration.h"
#include "core/randomsource.h"
#include "teams/teamkeys.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Hibiscus
{

/** Index over one RouteConfiguration, which it owns. Immutable, so that each request can use one version throughout. */
class RouteTable
{
public:
    /** @p keySeed is the secret seed of the index of keys; see TeamKeys. */
    explicit RouteTable(RouteConfiguration configuration, std::uint64_t keySeed = DeviceRandom().next());
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const RouteConfiguration &configuration() const
    {
        return configuration_;
    }

    /** Route with the longest prefix of @p path among those of @p host; null if none matches. */
    const Route *find(std::string_view host, std::string_view path) const;

    /** Profile of a service; null if the configuration doesn't name it. */
    const ServiceProfile *service(const ServiceName &name) const;

    const RequestRanks &ranks() const
    {
        return ranks_;
    }

    const TeamKeys &keys() const
    {
        return keys_;
    }

private:
    /** Routes of one host by path prefix. */
    using Prefixes = std::map<std::string, const Route *, std::less<>>;

    RouteConfiguration configuration_;
    std::unordered_map<std::string, Prefixes> hosts_;
    RequestRanks ranks_;
    TeamKeys keys_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * Service that handles a request of @p route. Requests with the same @p hash get the same service; uniformly
 * distributed hashes are distributed in proportion to the weights.
 */
const ServiceName &chooseTarget(const Route &route, std::uint64_t hash);

/** Host in lower case and without port, the form in which hosts are compared. */
std::string normalizeHost(std::string_view host);

} // namespace Hibiscus

#endif
