#include "membership/pollplan.h"

#include "membership/relaygroup.h"
#include "membership/relayreports.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <set>

using namespace Hibiscus;

namespace
{

std::vector<PollCandidate> candidates(std::size_t count)
{
    std::vector<PollCandidate> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({ServerName("s" + std::to_string(i)), HostAddress("h" + std::to_string(i)), true});
    }
    return result;
}

PollResponse responseOf(const RelayTarget &target, std::uint64_t round, bool counts)
{
    PollResponse response;
    response.name = target.name;
    response.incarnation = Incarnation(5);
    response.round = round;
    response.counts = counts;
    return response;
}

} // namespace

TEST_CASE("PollPlan: every member is polled once and no process sends more than about sqrt(n) polls")
{
    // Guards against members that are left out, and against a poll that exceeds the control overhead at 150 members.
    for (const std::size_t count : {0, 1, 15, 16, 40, 149, 300}) {
        CAPTURE(count);
        const std::vector<PollTarget> plan = PollPlan::make(candidates(count));
        const auto limit = static_cast<std::size_t>(std::ceil(1.4 * std::sqrt(static_cast<double>(count))));
        std::set<ServerName> polled;
        for (const PollTarget &target : plan) {
            polled.insert(target.member.name);
            CHECK(target.relayTo.size() <= limit);
            for (const RelayTarget &other : target.relayTo) {
                polled.insert(other.name);
            }
        }
        CHECK(polled.size() == count);
        CHECK(plan.size() <= (count < 16 ? count : limit));
    }
}

TEST_CASE("PollPlan: a member that doesn't respond relays to nobody, and most others keep their relay")
{
    // Guards against a group that hears nothing, and against views that are fetched again after each failure.
    std::vector<PollCandidate> members = candidates(149);
    const auto relays = [](const std::vector<PollTarget> &plan) {
        std::map<ServerName, ServerName> result;
        for (const PollTarget &target : plan) {
            for (const RelayTarget &other : target.relayTo) {
                result[other.name] = target.member.name;
            }
        }
        return result;
    };
    const auto before = relays(PollPlan::make(members));
    members[3].responsive = false;
    const auto after = relays(PollPlan::make(members));
    std::size_t moved = 0;
    for (const auto &[name, relay] : after) {
        CHECK(relay != members[3].name);
        const auto old = before.find(name);
        moved += old != before.end() && old->second != relay && old->second != members[3].name ? 1 : 0;
    }
    CHECK(moved <= 149 / 3);
}

TEST_CASE("RelayGroup: a state is only left out of a report when the agent certainly has it")
{
    // Guards against an agent that takes a process for counting, or for behind, because a report was lost.
    const std::vector<RelayTarget> members{{ServerName("a"), HostAddress("ha")}, {ServerName("b"), HostAddress("hb")}};
    RelayReports reports(Incarnation(9));
    const PollOrigin origin;
    Poll poll;
    poll.group = reports.groupOf(members);
    reports.setGroups({{poll.group, members}});
    RelayGroup group;
    poll.round = 1;
    CHECK(group.begin(origin, poll, {0}) == RelayGroup::Begin::UnknownGroup);

    struct Round {
        bool counts;
        bool lost; ///< The report doesn't reach the agent.
        bool acknowledged; ///< The agent's answer reaches the relay.
        std::size_t unchanged;
    };
    const std::vector<Round> rounds{{false, false, true, 0}, {false, false, true, 2}, {true, false, false, 0},
                                    {false, true, false, 0}, {true, true, false, 0},  {false, false, true, 0},
                                    {false, false, true, 2}};
    poll.relayTo = members;
    for (const Round &round : rounds) {
        CAPTURE(poll.round);
        REQUIRE(group.begin(origin, poll, {0}) == RelayGroup::Begin::Started);
        CHECK(group.begin(origin, poll, {0}) == RelayGroup::Begin::Repeated);
        for (const RelayTarget &member : members) {
            group.add(responseOf(member, poll.round - 1, !round.counts)); // Late response to the last round.
            group.add(responseOf(member, poll.round, round.counts));
        }
        const auto report = group.takeReport(Incarnation(3), {1});
        REQUIRE(report);
        CHECK(report->unchanged.size() == round.unchanged);
        if (!round.lost) {
            for (const PollResponse &response : reports.expand(*report, members)) {
                CHECK(response.counts == round.counts);
                CHECK(response.round == poll.round);
            }
        }
        if (round.acknowledged) {
            group.acknowledged(poll.group, poll.round);
        }
        poll.relayTo.clear();
        ++poll.round;
    }
}
