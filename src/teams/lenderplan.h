#ifndef HIBISCUS_TEAMS_LENDERPLAN_H
#define HIBISCUS_TEAMS_LENDERPLAN_H

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Hibiscus
{

/** One of the groups of teams that have the same lender. */
using Partition = StrongId<struct PartitionTag, unsigned>;

/** Daemons of the deployment by their peers listeners. */
using Daemons = std::map<HostAddress, Incarnation>;

/** Number of partitions. Each daemon sends up to this many reports in an interval. */
inline constexpr unsigned kPartitions = 4;

/** Partition of a team; the same in every process. */
Partition partitionOf(const TeamName &team);

/** Rank of a daemon among the lenders of a partition, by rendezvous hashing: the daemons that join or leave move few
 * partitions. */
std::uint64_t lenderRank(Partition partition, const HostAddress &daemon);

/** Daemons by falling rank for a partition. */
std::vector<HostAddress> rankedLenders(Partition partition, const Daemons &daemons);

/** Daemon with the highest rank for a partition. Empty if there is none. */
std::optional<HostAddress> lenderOf(Partition partition, const Daemons &daemons);

} // namespace Hibiscus

#endif
