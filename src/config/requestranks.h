#ifndef HIBISCUS_CONFIG_REQUESTRANKS_H
#define HIBISCUS_CONFIG_REQUESTRANKS_H

#include "config/routeconfiguration.h"

#include <vector>

namespace Hibiscus
{

/**
 * Ranks of the requests of one configuration. The priority of the team goes before that of the route: a request of a
 * more important team has a higher rank than all requests of less important ones. Requests without a team rank with the
 * least important teams.
 */
class RequestRanks
{
public:
    explicit RequestRanks(const RouteConfiguration &configuration);

    /** Number of ranks. Of the teams' priorities, only those that a team has count. */
    int count() const;

    /** Rank of a request on @p route of @p team, or of no team if it is null; 0 is the least important. */
    int rankOf(const Route &route, const Team *team) const;

private:
    int teamRank(const Team *team) const;

    std::vector<int> teamPriorities_; ///< Those that occur, the least important first.
    int routePriorityCount_ = 1;
};

} // namespace Hibiscus

#endif
