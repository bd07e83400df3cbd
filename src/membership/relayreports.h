#ifndef HIBISCUS_MEMBERSHIP_RELAYREPORTS_H
#define HIBISCUS_MEMBERSHIP_RELAYREPORTS_H

#include "core/ids.h"
#include "membership/controlmessages.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** Agent's side of relayed polls: which relay knows its group, and the last state each relay reported of a member. */
class RelayReports
{
public:
    explicit RelayReports(Incarnation agent);

    /** Number of the group with @p members; differs for each agent process. Never 0. */
    std::uint32_t groupOf(const std::vector<RelayTarget> &members) const;

    /** Whether @p relay has confirmed that it knows the members of @p group. */
    bool knows(const ServerName &relay, std::uint32_t group) const;
    /** The relay's response to a poll that named @p group. */
    void answered(const ServerName &relay, std::uint32_t group, bool known);

    /**
     * All responses of a report in full. Unchanged members of which nothing is stored are left out; the relay then gets
     * the members of the group again and so starts over with full responses.
     */
    std::vector<PollResponse> expand(const RelayReport &report, const std::vector<RelayTarget> &members);

    /** Members of the groups of the current plan. */
    void setGroups(std::map<std::uint32_t, std::vector<RelayTarget>> groups);
    const std::vector<RelayTarget> *membersOf(std::uint32_t group) const;

private:
    using Key = std::pair<Incarnation, std::uint32_t>;

    Incarnation agent_;
    std::map<ServerName, std::uint32_t> known_;
    std::map<std::uint32_t, std::vector<RelayTarget>> groups_;
    std::map<Key, std::map<ServerName, PollResponse>> states_;
};

} // namespace Hibiscus

#endif
