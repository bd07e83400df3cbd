#ifndef HIBISCUS_MEMBERSHIP_RELAYGROUP_H
#define HIBISCUS_MEMBERSHIP_RELAYGROUP_H

#include "membership/controlmessages.h"

#include <optional>
#include <vector>

namespace Hibiscus
{

/** Relay's side of a relayed poll: the members of its group, and their responses in the current round. */
class RelayGroup
{
public:
    enum class Begin {
        Started,
        Repeated, ///< The round was started before.
        UnknownGroup, ///< The poll left out the members of a group that is not known.
    };

    /** Starts the round of a poll that names a group, sent by the agent at @p origin. */
    Begin begin(const PollOrigin &origin, const Poll &poll, TimePoint now);

    const std::vector<RelayTarget> &members() const;
    const PollOrigin &origin() const;

    /** Takes a response to the current round; others are ignored. */
    void add(const PollResponse &response);

    /** Report of the current round, once all members responded or the delay has passed; given out once. */
    std::optional<RelayReport> takeReport(Incarnation self, TimePoint now);

    /** The agent has received the report of @p round. */
    void acknowledged(std::uint32_t group, std::uint64_t round);

private:
    struct Member {
        std::optional<PollResponse> response; ///< In the current round.
        std::optional<PollResponse> reported; ///< Last state sent to the agent.
        std::uint64_t changedIn = 0; ///< Round of the report in which that state was sent first.
    };

    PollOrigin origin_;
    Poll poll_;
    std::vector<RelayTarget> targets_;
    std::vector<Member> members_;
    TimePoint startedAt_;
    std::size_t responses_ = 0;
    std::uint64_t acknowledgedRound_ = 0;
    bool pending_ = false;
};

} // namespace Hibiscus

#endif
