#include "membership/relayreports.h"

#include "core/contenthash.h"

namespace Hibiscus
{

RelayReports::RelayReports(Incarnation agent)
    : agent_(agent)
{
}

std::uint32_t RelayReports::groupOf(const std::vector<RelayTarget> &members) const
{
    std::uint64_t hash = agent_.value();
    for (const RelayTarget &member : members) {
        hash = stableHash(member.address.value(), stableHash(member.name.value(), hash));
    }
    const auto group = static_cast<std::uint32_t>(hash);
    return group == 0 ? 1 : group;
}

bool RelayReports::knows(const ServerName &relay, std::uint32_t group) const
{
    const auto found = known_.find(relay);
    return found != known_.end() && found->second == group;
}

void RelayReports::answered(const ServerName &relay, std::uint32_t group, bool known)
{
    known_[relay] = known ? group : 0;
}

std::vector<PollResponse> RelayReports::expand(const RelayReport &report, const std::vector<RelayTarget> &members)
{
    std::map<ServerName, PollResponse> &states = states_[{report.relay, report.group}];
    std::vector<PollResponse> responses;
    for (const PollResponse &response : report.changed) {
        responses.push_back(response);
        responses.back().round = report.round;
        PollResponse &state = states[response.name];
        // A report that was overtaken by a newer one must not bring back the older state.
        if (state.round < report.round) {
            state = responses.back();
            state.record.reset();
        }
    }
    for (const std::uint32_t index : report.unchanged) {
        const auto state = index < members.size() ? states.find(members[index].name) : states.end();
        if (state == states.end()) {
            std::erase_if(known_, [&](const auto &item) { return item.second == report.group; });
        } else if (state->second.round < report.round) {
            responses.push_back(state->second);
            responses.back().round = report.round;
        }
    }
    return responses;
}

void RelayReports::setGroups(std::map<std::uint32_t, std::vector<RelayTarget>> groups)
{
    groups_ = std::move(groups);
    std::erase_if(states_, [this](const auto &item) { return !groups_.contains(item.first.second); });
}

const std::vector<RelayTarget> *RelayReports::membersOf(std::uint32_t group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace Hibiscus
