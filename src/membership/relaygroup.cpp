#include "membership/relaygroup.h"

#include "membership/membershiplimits.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

/** What the agent uses of a response. The rest differs in each round and only matters to the relay. */
PollResponse reportedPart(const PollResponse &response)
{
    PollResponse part;
    part.name = response.name;
    part.incarnation = response.incarnation;
    part.revision = response.revision;
    part.adopted = response.adopted;
    part.counts = response.counts;
    return part;
}

} // namespace

RelayGroup::Begin RelayGroup::begin(const PollOrigin &origin, const Poll &poll, TimePoint now)
{
    const bool sameGroup = poll.group == poll_.group && origin == origin_;
    if (sameGroup && poll.round <= poll_.round) {
        return Begin::Repeated;
    }
    if (!sameGroup && poll.relayTo.empty()) {
        return Begin::UnknownGroup;
    }
    if (!poll.relayTo.empty()) {
        // The agent sends the members again when it doesn't have the states that a report would leave out.
        targets_ = poll.relayTo;
        members_.assign(targets_.size(), {});
        acknowledgedRound_ = 0;
    }
    origin_ = origin;
    poll_ = poll;
    startedAt_ = now;
    responses_ = 0;
    pending_ = true;
    for (Member &member : members_) {
        member.response.reset();
    }
    return Begin::Started;
}

const std::vector<RelayTarget> &RelayGroup::members() const
{
    return targets_;
}

const PollOrigin &RelayGroup::origin() const
{
    return origin_;
}

void RelayGroup::add(const PollResponse &response)
{
    if (response.round != poll_.round) {
        return;
    }
    const auto target = std::ranges::find(targets_, response.name, &RelayTarget::name);
    if (target == targets_.end()) {
        return;
    }
    Member &member = members_.at(static_cast<std::size_t>(target - targets_.begin()));
    responses_ += member.response ? 0 : 1;
    member.response = response;
}

std::optional<RelayReport> RelayGroup::takeReport(Incarnation self, TimePoint now)
{
    if (!pending_ || (responses_ < members_.size() && now - startedAt_ < kRelayReportDelay)) {
        return std::nullopt;
    }
    pending_ = false;
    RelayReport report{self, poll_.group, poll_.round, {}, {}};
    for (std::size_t i = 0; i < members_.size(); ++i) {
        Member &member = members_[i];
        if (!member.response) {
            continue;
        }
        const PollResponse part = reportedPart(*member.response);
        if (member.reported != part) {
            member.changedIn = poll_.round;
            member.reported = part;
        }
        // Only a state that the agent has acknowledged, and that no later report replaced, may be left out.
        if (member.changedIn <= acknowledgedRound_) {
            report.unchanged.push_back(static_cast<std::uint32_t>(i));
        } else {
            report.changed.push_back(part);
            report.changed.back().record = member.response->record;
        }
    }
    return report;
}

void RelayGroup::acknowledged(std::uint32_t group, std::uint64_t round)
{
    if (group == poll_.group) {
        acknowledgedRound_ = std::max(acknowledgedRound_, round);
    }
}

} // namespace Hibiscus
