#include "config/requestranks.h"

#include <algorithm>
#include <functional>

namespace Hibiscus
{

RequestRanks::RequestRanks(const RouteConfiguration &configuration)
{
    for (const Route &route : configuration.routes) {
        routePriorityCount_ = std::max(routePriorityCount_, route.priority + 1);
    }
    for (const Team &team : configuration.teams.all()) {
        teamPriorities_.push_back(team.priority);
    }
    std::sort(teamPriorities_.begin(), teamPriorities_.end(), std::greater<>());
    teamPriorities_.erase(std::unique(teamPriorities_.begin(), teamPriorities_.end()), teamPriorities_.end());
}

int RequestRanks::count() const
{
    return std::max(1, static_cast<int>(teamPriorities_.size())) * routePriorityCount_;
}

int RequestRanks::rankOf(const Route &route, const Team *team) const
{
    const int routeRank = routePriorityCount_ - 1 - route.priority;
    return teamRank(team) * routePriorityCount_ + routeRank;
}

int RequestRanks::teamRank(const Team *team) const
{
    if (team == nullptr) {
        return 0;
    }
    const auto found =
        std::lower_bound(teamPriorities_.begin(), teamPriorities_.end(), team->priority, std::greater<>());
    return static_cast<int>(found - teamPriorities_.begin());
}

} // namespace Hibiscus
