#include "retry/retrypolicy.h"

#include <set>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr TimePoint kNow{5000};

RetryDecision decideFirst(bool repeatable, bool hasIdentity, ErrorKind kind, double timeLeft = 100, int attempts = 1)
{
    AttemptBudget attemptBudget(attempts);
    RetryBudget retryBudget;
    const RetryDecision decision = RetryPolicy(repeatable, hasIdentity)
                                       .decide(kind, Millis{timeLeft}, Millis{50}, attemptBudget, retryBudget, kNow);
    // A decision against a retry consumes neither an attempt nor a token.
    CHECK(attemptBudget.left() == attempts - (decision.retry ? 1 : 0));
    CHECK(retryBudget.tokens() == (decision.retry ? 9 : 10));
    return decision;
}

} // namespace

TEST_CASE("RetryPolicy: which failures are retried")
{
    // Guards against a second run of a request that may have run, and retries that would fail in the same way.
    const std::set<ErrorKind> notRun{ErrorKind::Overloaded,      ErrorKind::Draining,      ErrorKind::Unreachable,
                                     ErrorKind::RulesNotFresh,   ErrorKind::ServerRefused, ErrorKind::Misdirected,
                                     ErrorKind::StaleIncarnation};
    const std::set<ErrorKind> mayHaveRun{ErrorKind::ConnectionLost, ErrorKind::ServerCrashed, ErrorKind::BadAnswer};
    for (int i = 0; i <= static_cast<int>(ErrorKind::ParentUnknown); ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        CAPTURE(errorResponseFor(kind).name);
        CHECK(decideFirst(false, true, kind).retry == notRun.contains(kind));
        CHECK(decideFirst(true, true, kind).retry == (notRun.contains(kind) || mayHaveRun.contains(kind)));
        CHECK_FALSE(decideFirst(true, false, kind).retry);
        CHECK_FALSE(decideFirst(true, true, kind, 49).retry);
        CHECK_FALSE(decideFirst(true, true, kind, 100, 0).retry);
        CHECK(decideFirst(true, false, kind).error == kind);
    }
}

TEST_CASE("RetryPolicy: the outcome of the reported error holds for all attempts")
{
    // Guards against an error that says "not run" after an earlier attempt that may have run.
    const struct {
        std::vector<ErrorKind> failures;
        ErrorKind error;
    } cases[] = {
        {{ErrorKind::Overloaded, ErrorKind::Draining}, ErrorKind::Draining},
        {{ErrorKind::ConnectionLost, ErrorKind::Overloaded}, ErrorKind::ConnectionLost},
        {{ErrorKind::ConnectionLost, ErrorKind::Draining, ErrorKind::NoServer}, ErrorKind::ConnectionLost},
        {{ErrorKind::Overloaded, ErrorKind::ServerCrashed}, ErrorKind::ServerCrashed},
    };
    for (const auto &[failures, error] : cases) {
        AttemptBudget attemptBudget(10);
        RetryBudget retryBudget;
        RetryPolicy policy(true, true);
        RetryDecision decision;
        for (const ErrorKind kind : failures) {
            decision = policy.decide(kind, Millis{100}, Millis{50}, attemptBudget, retryBudget, kNow);
        }
        CHECK(errorResponseFor(decision.error).name == errorResponseFor(error).name);
    }
}
