#ifndef HIBISCUS_ROUTING_REACHABLESUBSET_H
#define HIBISCUS_ROUTING_REACHABLESUBSET_H

#include "core/millis.h"
#include "routing/subsetselector.h"

#include <map>
#include <vector>

namespace Hibiscus
{

/**
 * Servers that one daemon sends to, when some of those that are listed can't be reached. A server that is gone may stay
 * listed for good, so one out of reach keeps no other one from being used. It is still probed as long as it is listed:
 * those that the SubsetSelector selects like any other server, and of the rest one a second.
 */
class ReachableSubset
{
public:
    /** Earliest times of the next probes of servers out of reach. */
    using Probes = std::map<ServerName, TimePoint>;

    explicit ReachableSubset(SubsetSelector selector);

    /**
     * Those of @p servers that the selector selects, in place of those out of reach the next ones in rank, and at times
     * another one out of reach, to be probed.
     */
    std::vector<ServerView> select(const std::vector<ServerView> &servers, const Probes &outOfReach, TimePoint now);

private:
    SubsetSelector selector_;
    TimePoint addedAt_; ///< When a server out of reach was last added to be probed.
};

} // namespace Hibiscus

#endif
