#include "teams/lenderplan.h"

#include "core/contenthash.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

Partition partitionOf(const TeamName &team)
{
    return Partition(static_cast<unsigned>(stableHash(team.value()) % kPartitions));
}

std::uint64_t lenderRank(Partition partition, const HostAddress &daemon)
{
    return stableHash(daemon.value(), partition.value());
}

std::vector<HostAddress> rankedLenders(Partition partition, const Daemons &daemons)
{
    std::vector<std::pair<std::uint64_t, HostAddress>> ranks;
    for (const auto &[daemon, incarnation] : daemons) {
        ranks.emplace_back(lenderRank(partition, daemon), daemon);
    }
    std::sort(ranks.rbegin(), ranks.rend());
    std::vector<HostAddress> ranked;
    for (auto &[rank, daemon] : ranks) {
        ranked.push_back(std::move(daemon));
    }
    return ranked;
}

std::optional<HostAddress> lenderOf(Partition partition, const Daemons &daemons)
{
    const std::vector<HostAddress> ranked = rankedLenders(partition, daemons);
    return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

} // namespace Hibiscus
