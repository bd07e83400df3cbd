#include "mesh/directoryroutes.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** Fraction of the deployment's retry ratio that each service uses. A retried request makes its nested calls again, and
 * these add to the retries at up to three levels of services below it. */
constexpr double kRetryRatioShare = 0.25;
/** Fraction of the retry slack that is divided among the daemons. The rest is a reserve, since a daemon that knows too
 * few of the others takes too large a share. */
constexpr double kRetrySlackShare = 0.5;

} // namespace

void updateRoutes(RoutingTable &table, const ServerDirectory &directory, const RetryBudgetSettings &budget)
{
    RoutingTable::Services byService;
    std::size_t serverCount = 0;
    for (const auto &[name, entry] : directory.entries()) {
        const ServerRegistration &server = entry.registration;
        if (server.state == ServerState::Left) {
            continue;
        }
        ++serverCount;
        byService[server.service].push_back({name, server.daemon, server.incarnation, server.domain,
                                             server.state != ServerState::Ready, server.startedAt, server.slots});
    }
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, serverCount));
    table.update(byService);
    table.setRetryLimits(budget.ratio * kRetryRatioShare, budget.slack * kRetrySlackShare / daemons);
}

} // namespace Hibiscus
