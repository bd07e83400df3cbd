#ifndef HIBISCUS_DAEMON_TEAMCOUNTERS_H
#define HIBISCUS_DAEMON_TEAMCOUNTERS_H

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <utility>

namespace Hibiscus
{

/** Counts the ended calls of each team by their results. */
class TeamCounters
{
public:
    /** Teams that have counters of their own. Later ones share kOther, since teams come and go with the configuration.
     */
    static constexpr std::size_t kMaximumTeams = 256;
    static constexpr const char *kOther = "_other";

    /** Counts a call that ended with @p result, which is one of a closed list. */
    void add(const TeamName &team, const std::string &result);

    /** Writes the counters in the Prometheus text exposition format; nothing if no call of a team has ended. */
    void write(std::ostream &out) const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t>> calls_; ///< By team and result.
};

} // namespace Hibiscus

#endif
