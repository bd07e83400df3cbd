#include "routing/reachablesubset.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Shortest time between probes of servers out of reach that the selector leaves out. */
constexpr Millis kProbeInterval{1000};

bool contains(const std::vector<ServerView> &servers, const ServerName &name)
{
    return std::any_of(servers.begin(), servers.end(),
                       [&name](const ServerView &server) { return server.name == name; });
}

/** The server with the earliest probe of those out of reach that are not in @p subset; null if there is none. */
const ServerView *nextToProbe(const std::vector<ServerView> &servers, const ReachableSubset::Probes &outOfReach,
                              const std::vector<ServerView> &subset)
{
    const ServerView *next = nullptr;
    for (const ServerView &server : servers) {
        const auto probe = outOfReach.find(server.name);
        if (probe == outOfReach.end() || contains(subset, server.name)) {
            continue;
        }
        if (!next || probe->second < outOfReach.at(next->name)) {
            next = &server;
        }
    }
    return next;
}

} // namespace

ReachableSubset::ReachableSubset(SubsetSelector selector)
    : selector_(std::move(selector))
{
}

std::vector<ServerView> ReachableSubset::select(const std::vector<ServerView> &servers, const Probes &outOfReach,
                                                TimePoint now)
{
    std::vector<ServerView> subset = selector_.select(servers);
    const auto isOutOfReach = [&outOfReach](const ServerView &server) { return outOfReach.contains(server.name); };
    if (std::none_of(subset.begin(), subset.end(), isOutOfReach)) {
        return subset;
    }
    std::vector<ServerView> inReach;
    std::remove_copy_if(servers.begin(), servers.end(), std::back_inserter(inReach), isOutOfReach);
    for (const ServerView &server : selector_.select(inReach)) {
        if (!contains(subset, server.name)) {
            subset.push_back(server);
        }
    }
    if (now - addedAt_ < kProbeInterval) {
        return subset;
    }
    if (const ServerView *next = nextToProbe(servers, outOfReach, subset)) {
        subset.push_back(*next);
        addedAt_ = now;
    }
    return subset;
}

} // namespace Hibiscus
