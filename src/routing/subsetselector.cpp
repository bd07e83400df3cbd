#include "routing/subsetselector.h"

#include "core/contenthash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Hibiscus
{

namespace
{

struct RankedServer {
    std::uint64_t domainHash;
    std::uint64_t serverHash;
    const ServerView *server;

    bool operator<(const RankedServer &other) const
    {
        return std::tie(serverHash, server->name) < std::tie(other.serverHash, other.server->name);
    }
};

/**
 * Moves the highest-ranked server of each of the kFallbackDomains highest-ranked domains to the front and returns the
 * number of these servers. @p servers must be sorted.
 */
std::size_t moveFallbackToFront(std::vector<RankedServer> &servers)
{
    std::vector<RankedServer> best;
    for (const RankedServer &ranked : servers) {
        const auto sameDomain = [&ranked](const RankedServer &other) {
            return other.server->domain == ranked.server->domain;
        };
        if (std::none_of(best.begin(), best.end(), sameDomain)) {
            best.push_back(ranked);
        }
    }
    std::sort(best.begin(), best.end(), [](const RankedServer &a, const RankedServer &b) {
        return std::tie(a.domainHash, a.server->domain) < std::tie(b.domainHash, b.server->domain);
    });
    best.resize(std::min(best.size(), kFallbackDomains));
    const auto isBest = [&best](const RankedServer &ranked) {
        return std::any_of(best.begin(), best.end(),
                           [&ranked](const RankedServer &b) { return b.server == ranked.server; });
    };
    std::stable_partition(servers.begin(), servers.end(), isBest);
    return best.size();
}

} // namespace

SubsetSelector::SubsetSelector(const ServerName &self, FailureDomainName domain)
    : seed_(stableHash(self.value()))
    , domain_(std::move(domain))
{
}

std::vector<ServerView> SubsetSelector::select(const std::vector<ServerView> &servers) const
{
    std::vector<RankedServer> ownDomain;
    std::vector<RankedServer> otherDomains;
    for (const ServerView &server : servers) {
        (server.domain == domain_ ? ownDomain : otherDomains)
            .push_back({stableHash(server.domain.value(), seed_), stableHash(server.name.value(), seed_), &server});
    }
    std::sort(ownDomain.begin(), ownDomain.end());
    std::sort(otherDomains.begin(), otherDomains.end());
    const std::size_t fallback = moveFallbackToFront(otherDomains);
    ownDomain.resize(std::min(ownDomain.size(), kSubsetSize - fallback));
    otherDomains.resize(std::min(otherDomains.size(), kSubsetSize - ownDomain.size()));

    std::vector<ServerView> subset;
    for (const std::vector<RankedServer> *part : {&ownDomain, &otherDomains}) {
        for (const RankedServer &ranked : *part) {
            subset.push_back(*ranked.server);
        }
    }
    return subset;
}

} // namespace Hibiscus
