#include "retry/routeattemptpolicy.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr Millis kTimeLeft{1000};
constexpr Millis kExpected{50};
constexpr TimePoint kNow{1000};
constexpr int kAllowance = 64;

RetryDecision decide(RouteAttemptPolicy &policy, ErrorKind kind, RetryBudget &budget)
{
    return policy.decide(kind, kTimeLeft, kExpected, budget, kNow);
}

} // namespace

TEST_CASE("RouteAttemptPolicy: a request that may not run twice is sent again only after a promise")
{
    // Guards against a second run of a deposit whose first run has an unknown fate, and against "not run" after it.
    RetryBudget budget;
    RouteAttemptPolicy lost(false, 3, kAllowance);
    CHECK_FALSE(decide(lost, ErrorKind::ConnectionLost, budget).retry);
    RouteAttemptPolicy refused(false, 3, kAllowance);
    CHECK(decide(refused, ErrorKind::ServerRefused, budget).retry);
    const RetryDecision end = decide(refused, ErrorKind::ServerCrashed, budget);
    CHECK_FALSE(end.retry);
    CHECK(end.error == ErrorKind::ServerCrashed);
    CHECK(decide(refused, ErrorKind::Overloaded, budget).error == ErrorKind::ServerCrashed);
}

TEST_CASE("RouteAttemptPolicy: a refusal by a daemon costs no token and no attempt")
{
    // Guards against a retry budget that is spent on offers which reached no server.
    RetryBudget budget;
    const double tokens = budget.tokens();
    RouteAttemptPolicy policy(true, 1, kAllowance);
    for (int i = 1; i < RouteAttemptPolicy::kMaximumOffers; ++i) {
        CHECK(decide(policy, ErrorKind::Overloaded, budget).retry);
    }
    CHECK_FALSE(decide(policy, ErrorKind::Overloaded, budget).retry);
    CHECK(budget.tokens() == doctest::Approx(tokens));
    CHECK(policy.spent() == 0);
}

TEST_CASE("RouteAttemptPolicy: the allowance of the call tree bounds the attempts")
{
    // Guards against attempts that multiply down a chain of calls.
    RetryBudget budget;
    RouteAttemptPolicy none(true, 2, 0);
    CHECK_FALSE(none.consumeFirst());
    RouteAttemptPolicy one(true, 3, 1);
    REQUIRE(one.consumeFirst());
    CHECK_FALSE(decide(one, ErrorKind::ServerCrashed, budget).retry);
}

TEST_CASE("RouteAttemptPolicy: no more servers are reached than the route allows")
{
    // Guards against a request that runs on more servers than its route's attempts.
    RetryBudget budget;
    RouteAttemptPolicy policy(true, 2, kAllowance);
    CHECK(decide(policy, ErrorKind::ServerCrashed, budget).retry);
    CHECK_FALSE(decide(policy, ErrorKind::ServerCrashed, budget).retry);
    CHECK(policy.spent() == 1);
}

TEST_CASE("RouteAttemptPolicy: a deep chain of calls has attempts left at its end")
{
    // Guards against shares that shrink with each hop until the last calls can't be made.
    constexpr int kDepth = 5;
    constexpr int kCallsAtTheEnd = 4;
    constexpr int kUnknownPeak = 1000;
    int allowance = kAllowance;
    for (int hop = 0; hop < kDepth; ++hop) {
        RouteAttemptPolicy policy(true, 2, allowance);
        REQUIRE(policy.consumeFirst());
        AttemptBudget scope(policy.grantSubtree());
        allowance = scope.grantChild(kUnknownPeak);
    }
    CHECK(allowance >= kCallsAtTheEnd);
}

TEST_CASE("RouteAttemptPolicy: no retry that can't finish in time")
{
    // Guards against work for a caller that will have left.
    RetryBudget budget;
    RouteAttemptPolicy policy(true, 2, kAllowance);
    CHECK_FALSE(policy.decide(ErrorKind::ServerCrashed, {10}, kExpected, budget, kNow).retry);
}
