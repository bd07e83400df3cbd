#include "teams/lenderchoice.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

const Partition kPartition(1);
constexpr TimePoint kStart{1000};
constexpr Millis kLong{2000};

Daemons makeDaemons(std::size_t count)
{
    Daemons daemons;
    for (std::size_t i = 0; i < count; ++i) {
        daemons[HostAddress("d" + std::to_string(i))] = Incarnation(i + 1);
    }
    return daemons;
}

/** Daemons from the highest rank for the partition down. */
std::vector<HostAddress> ranked(Daemons daemons)
{
    std::vector<HostAddress> result;
    while (const auto lender = lenderOf(kPartition, daemons)) {
        result.push_back(*lender);
        daemons.erase(*lender);
    }
    return result;
}

} // namespace

TEST_CASE("LenderChoice: a daemon that has never answered is passed over at once, one that has answered later")
{
    // Guards against a lender that is gone and for which its entry alone speaks, and against a change at each hiccup.
    const Daemons daemons = makeDaemons(4);
    const std::vector<HostAddress> order = ranked(daemons);
    LenderChoice choice;
    CHECK_FALSE(choice.lender(kPartition).has_value());
    choice.setDaemons(daemons);
    CHECK(choice.lender(kPartition) == order[0]);
    choice.recordFailure(order[0], kStart);
    CHECK(choice.lender(kPartition) == order[1]);
    CHECK(choice.incarnation(kPartition) == daemons.at(order[1]));

    choice.recordAnswer(order[1], kStart);
    choice.recordFailure(order[1], kStart + LenderChoice::kFailoverAfter - Millis{1});
    CHECK(choice.lender(kPartition) == order[1]);
    choice.recordAnswer(order[1], kStart + kLong);
    choice.recordFailure(order[1], kStart + kLong);
    CHECK(choice.lender(kPartition) == order[1]);
    choice.recordFailure(order[1], kStart + kLong + LenderChoice::kFailoverAfter);
    CHECK(choice.lender(kPartition) == order[2]);
}

TEST_CASE("LenderChoice: a daemon that was passed over lends again once it answers a probe or its process is replaced")
{
    // Guards against daemons that stay with different lenders after a cut has ended.
    Daemons daemons = makeDaemons(4);
    const std::vector<HostAddress> order = ranked(daemons);
    LenderChoice choice;
    choice.setDaemons(daemons);
    choice.recordFailure(order[0], kStart);
    choice.recordFailure(order[1], kStart);
    CHECK(choice.lender(kPartition) == order[2]);
    for (const HostAddress &daemon : {order[2], order[3]}) {
        choice.recordAnswer(daemon, kStart + kLong);
    }
    CHECK(choice.takeDueProbes(kStart).empty());
    const auto first = choice.takeDueProbes(kStart + kLong);
    REQUIRE(first.size() == 1);
    CHECK(choice.takeDueProbes(kStart + kLong).empty());
    const auto second = choice.takeDueProbes(kStart + kLong + Millis{200});
    REQUIRE(second.size() == 1);
    CHECK(first.front() != second.front());
    CHECK(choice.takeDueProbes(kStart + kLong + Millis{400}).empty());
    choice.recordAnswer(order[1], kStart + kLong);
    CHECK(choice.lender(kPartition) == order[1]);

    daemons[order[0]] = Incarnation(77);
    choice.setDaemons(daemons);
    CHECK(choice.lender(kPartition) == order[0]);
    CHECK(choice.incarnation(kPartition) == Incarnation(77));
}

TEST_CASE("LenderChoice: while no lender has answered, several daemons in line are probed at once")
{
    // Guards against a search that takes longer with each host that is gone.
    const Daemons daemons = makeDaemons(40);
    const std::vector<HostAddress> order = ranked(daemons);
    LenderChoice choice;
    choice.setDaemons(daemons);
    const std::vector<HostAddress> probed = choice.takeDueProbes(kStart);
    for (std::size_t i = 1; i <= 8; ++i) {
        CHECK(std::find(probed.begin(), probed.end(), order[i]) != probed.end());
    }
    CHECK(probed.size() <= 8 * kPartitions);
    CHECK(choice.takeDueProbes(kStart).empty());
    for (std::size_t i = 0; i < 5; ++i) {
        choice.recordFailure(order[i], kStart);
    }
    choice.recordAnswer(order[5], kStart);
    CHECK(choice.lender(kPartition) == order[5]);
}

TEST_CASE("LenderChoice: if no daemon answers, the highest-ranked one is tried on; what is not listed is ignored")
{
    const Daemons daemons = makeDaemons(2);
    const std::vector<HostAddress> order = ranked(daemons);
    LenderChoice choice;
    choice.setDaemons(daemons);
    choice.recordFailure(order[0], kStart);
    choice.recordFailure(order[1], kStart);
    CHECK(choice.lender(kPartition) == order[0]);
    choice.recordAnswer(HostAddress("unlisted"), kStart);
    choice.recordFailure(HostAddress("unlisted"), kStart);
    CHECK(choice.lender(kPartition) == order[0]);
    choice.setDaemons({});
    CHECK_FALSE(choice.lender(kPartition).has_value());
    CHECK(choice.incarnation(kPartition) == Incarnation());
    CHECK(choice.takeDueProbes(kStart + kLong).empty());
}

TEST_CASE("LenderChoice: only daemons that would lend something are probed")
{
    // Guards against messages to all that are gone, whose number grows over the weeks.
    const Daemons daemons = makeDaemons(40);
    const std::vector<HostAddress> order = ranked(daemons);
    LenderChoice choice;
    choice.setDaemons(daemons);
    std::set<HostAddress> lenders;
    for (unsigned number = 0; number < kPartitions; ++number) {
        lenders.insert(*choice.lender(Partition(number)));
    }
    for (const auto &[daemon, incarnation] : daemons) {
        if (!lenders.contains(daemon)) {
            choice.recordFailure(daemon, kStart);
        } else {
            choice.recordAnswer(daemon, kStart + kLong);
        }
    }
    CHECK(choice.takeDueProbes(kStart + kLong).empty());
}
