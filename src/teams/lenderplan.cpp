#include "teams/lenderplan.h"

#include "core/contenthash.h"

namespace Hibiscus
{

Partition partitionOf(const TeamName &team)
{
    return Partition(static_cast<unsigned>(stableHash(team.value()) % kPartitions));
}

std::optional<HostAddress> lenderOf(Partition partition, const Daemons &daemons)
{
    std::optional<HostAddress> lender;
    std::uint64_t highest = 0;
    for (const auto &[daemon, incarnation] : daemons) {
        const std::uint64_t rank = stableHash(daemon.value(), partition.value());
        if (!lender || rank > highest) {
            highest = rank;
            lender = daemon;
        }
    }
    return lender;
}

} // namespace Hibiscus
