#include "config/routetable.h"

#include <algorithm>
#include <cctype>

namespace Hibiscus
{

namespace
{

std::string_view withoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

RouteTable::RouteTable(RouteConfiguration configuration, std::uint64_t keySeed)
    : configuration_(std::move(configuration))
    , ranks_(configuration_)
    , keys_(configuration_.teams.all(), keySeed)
{
    for (const Route &route : configuration_.routes) {
        hosts_[normalizeHost(route.host)][route.pathPrefix] = &route;
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = hosts_.find(normalizeHost(host));
    if (prefixes == hosts_.end()) {
        return nullptr;
    }
    std::string_view rest = withoutQuery(path);
    for (std::size_t end = rest.rfind('/'); end != std::string_view::npos; end = rest.rfind('/')) {
        const auto found = prefixes->second.find(rest.substr(0, end + 1));
        if (found != prefixes->second.end()) {
            return found->second;
        }
        rest = rest.substr(0, end);
    }
    return nullptr;
}

const ServiceProfile *RouteTable::service(const ServiceName &name) const
{
    const auto found = std::find_if(configuration_.services.begin(), configuration_.services.end(),
                                    [&name](const ServiceProfile &profile) { return profile.name == name; });
    return found == configuration_.services.end() ? nullptr : &*found;
}

const ServiceName &chooseTarget(const Route &route, std::uint64_t hash)
{
    constexpr std::uint64_t kResolution = 1U << 20U;
    double total = 0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    double point = static_cast<double>(hash % kResolution) / kResolution * total;
    for (const RouteTarget &target : route.targets) {
        point -= target.weight;
        if (point < 0) {
            return target.service;
        }
    }
    return route.targets.back().service;
}

std::string normalizeHost(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string result(hasPort ? host.substr(0, colon) : host);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

} // namespace Hibiscus
