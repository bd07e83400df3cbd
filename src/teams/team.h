#ifndef HIBISCUS_TEAMS_TEAM_H
#define HIBISCUS_TEAMS_TEAM_H

#include "core/ids.h"
#include "core/requestrate.h"
#include "teams/apikey.h"

#include <vector>

namespace Hibiscus
{

/** Requests that a team may have run, over all daemons together: a token bucket. */
struct Allotment {
    RequestRate rate; ///< 0 for no limit.
    double burst = 0; ///< Requests that may run at once after a time without any.

    bool isUnlimited() const
    {
        return rate.perSecond <= 0;
    }

    friend bool operator==(const Allotment &, const Allotment &) = default;
};

/** Callers who are recognized by the same keys and share one allotment. */
struct Team {
    TeamName name;
    std::vector<ApiKey> keys; ///< May be empty, when all keys were withdrawn.
    int priority = 0; ///< 0 is the most important; goes before the priority of the route.
    Allotment allotment;

    friend bool operator==(const Team &, const Team &) = default;
};

} // namespace Hibiscus

#endif
