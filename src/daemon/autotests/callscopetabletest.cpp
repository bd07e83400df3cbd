#include "daemon/callscopetable.h"

#include "core/manualclock.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr int kPeak = 1000;
const AttemptId kAttempt(7);

CallScopeTable tableWithScope(const ManualClock &clock, int attemptBudget)
{
    CallScopeTable table(clock);
    table.open(kAttempt, {RootContext{}, "", TimePoint{9000}, AttemptBudget(attemptBudget)});
    return table;
}

CallResult completed(int spent)
{
    CallResult result;
    result.response = HttpResponse{200, {}, ""};
    result.spent = spent;
    return result;
}

CallResult failed(ErrorKind kind)
{
    CallResult result;
    result.response = tl::unexpected(kind);
    return result;
}

} // namespace

TEST_CASE("CallScopeTable: a resend by the backend server keeps the path of its call")
{
    // Guards against a non-repeatable call that runs twice because the server sent it again after an unknown outcome.
    struct KeyCase {
        const char *name;
        bool isExplicit;
        CallResult first;
        bool samePath;
    };
    const KeyCase cases[] = {
        {"derived key, outcome unknown", false, failed(ErrorKind::ConnectionLost), true},
        {"derived key, not run", false, failed(ErrorKind::Overloaded), true},
        {"derived key, completed", false, completed(1), false},
        {"explicit key, completed", true, completed(1), true},
        {"explicit key, outcome unknown", true, failed(ErrorKind::ConnectionLost), true},
    };
    for (const KeyCase &testCase : cases) {
        CAPTURE(testCase.name);
        const ManualClock clock;
        CallScopeTable table = tableWithScope(clock, 32);
        const ChildKey key{"k", testCase.isExplicit};
        const auto first = table.beginChild(kAttempt, key, kPeak);
        REQUIRE(first.has_value());
        table.endChild(kAttempt, *first, testCase.first, false);
        const auto second = table.beginChild(kAttempt, key, kPeak);
        REQUIRE(second.has_value());
        CHECK((first->callPath == second->callPath) == testCase.samePath);
    }
}

TEST_CASE("CallScopeTable: an abandoned request is distinguished from an unknown one")
{
    // Guards against calls that a server makes for a cancelled request and that run although nobody waits for them.
    ManualClock clock;
    CallScopeTable table(clock);
    const auto open = [&](AttemptId attempt, const std::string &name) {
        table.open(attempt, {RootContext{}, "", TimePoint{9000}, AttemptBudget(8)}, name);
    };
    open(AttemptId(1), "given-up");
    open(AttemptId(2), "finished");
    table.close(AttemptId(1), ScopeEnd::Abandoned);
    table.close(AttemptId(2));
    CHECK(table.isAbandoned("given-up"));
    CHECK_FALSE(table.isAbandoned("finished"));
    CHECK_FALSE(table.isAbandoned("unknown"));

    SUBCASE("until the request runs here again")
    {
        open(AttemptId(3), "given-up");
        CHECK_FALSE(table.isAbandoned("given-up"));
    }
    SUBCASE("for some time")
    {
        clock.advance(CallScopeTable::kAbandonedLifetime);
        CHECK_FALSE(table.isAbandoned("given-up"));
    }
    SUBCASE("within bounded memory")
    {
        for (std::size_t i = 0; i < CallScopeTable::kMaximumAbandoned; ++i) {
            open(AttemptId(100 + i), std::to_string(i));
            table.close(AttemptId(100 + i), ScopeEnd::Abandoned);
        }
        CHECK_FALSE(table.isAbandoned("given-up"));
        CHECK(table.isAbandoned("0"));
    }
}

TEST_CASE("CallScopeTable: the calls below an attempt stay within its attempt budget")
{
    // Guards against an attempt budget that grows with depth or fan-out.
    const ManualClock clock;
    CallScopeTable table = tableWithScope(clock, 10);
    int granted = 0;
    for (int i = 0; i < 20; ++i) {
        const auto child = table.beginChild(kAttempt, {std::to_string(i), false}, kPeak);
        REQUIRE(child.has_value());
        granted += child->granted;
        table.endChild(kAttempt, *child, failed(ErrorKind::ConnectionLost), true);
    }
    CHECK(granted == 10);
    CHECK(table.close(kAttempt).spent == 10);
}

TEST_CASE("CallScopeTable: time spent waiting for calls is not counted twice")
{
    // Guards against an own service time that is computed too small when calls run in parallel.
    ManualClock clock;
    CallScopeTable table = tableWithScope(clock, 32);
    const auto first = table.beginChild(kAttempt, {"a", false}, 1);
    clock.advance({10});
    const auto second = table.beginChild(kAttempt, {"b", false}, 1);
    clock.advance({10});
    table.endChild(kAttempt, *first, completed(1), true);
    clock.advance({10});
    table.endChild(kAttempt, *second, completed(1), true);
    clock.advance({10});
    const ScopeSummary summary = table.close(kAttempt);
    CHECK(summary.waitingForChildren == Millis{30});
    CHECK_FALSE(summary.nonRepeatableMayHaveRun);
}

TEST_CASE("CallScopeTable: a non-repeatable call below an attempt is reported if it may have run")
{
    // Guards against a request that is reported as "not run" although a non-repeatable call below it may have run.
    const ManualClock clock;
    CallScopeTable outstanding = tableWithScope(clock, 32);
    REQUIRE(outstanding.beginChild(kAttempt, {"a", false}, 1).has_value());
    CHECK(outstanding.close(kAttempt).nonRepeatableMayHaveRun);

    CallScopeTable unknown = tableWithScope(clock, 32);
    const auto child = unknown.beginChild(kAttempt, {"a", false}, 1);
    unknown.endChild(kAttempt, *child, failed(ErrorKind::DeadlineExceeded), false);
    CHECK(unknown.close(kAttempt).nonRepeatableMayHaveRun);

    CHECK_FALSE(unknown.beginChild(kAttempt, {"b", false}, 1).has_value());
}
