#include "retry/routeattemptpolicy.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr Millis kTimeLeft{1000};
constexpr Millis kExpected{50};
constexpr TimePoint kNow{1000};
constexpr int kTreeAttempts = 64;

RetryDecision decide(RouteAttemptPolicy &policy, ErrorKind kind, RetryBudget &budget)
{
    return policy.decide(kind, kTimeLeft, kExpected, budget, kNow);
}

} // namespace

TEST_CASE("RouteAttemptPolicy: a non-idempotent request is sent again only if no attempt may have run")
{
    // Guards against a second run of a request that may have run before, such as a deposit, and against an error that
    // says "not run" after it.
    RetryBudget budget;
    RouteAttemptPolicy lost(false, 3, kTreeAttempts);
    CHECK_FALSE(decide(lost, ErrorKind::ConnectionLost, budget).retry);
    RouteAttemptPolicy refused(false, 3, kTreeAttempts);
    CHECK(decide(refused, ErrorKind::ServerRefused, budget).retry);
    const RetryDecision lastDecision = decide(refused, ErrorKind::ServerCrashed, budget);
    CHECK_FALSE(lastDecision.retry);
    CHECK(lastDecision.error == ErrorKind::ServerCrashed);
    CHECK(decide(refused, ErrorKind::Overloaded, budget).error == ErrorKind::ServerCrashed);
}

TEST_CASE("RouteAttemptPolicy: a refusal by a daemon consumes no token and no attempt")
{
    // Guards against a retry budget that is used up by offers that reached no server.
    RetryBudget budget;
    const double tokens = budget.tokens();
    RouteAttemptPolicy policy(true, 1, kTreeAttempts);
    for (int i = 1; i < RouteAttemptPolicy::kMaximumOffers; ++i) {
        CHECK(decide(policy, ErrorKind::Overloaded, budget).retry);
    }
    CHECK_FALSE(decide(policy, ErrorKind::Overloaded, budget).retry);
    CHECK(budget.tokens() == doctest::Approx(tokens));
    CHECK(policy.spent() == 0);
}

TEST_CASE("RouteAttemptPolicy: the attempt budget of the call tree bounds the attempts")
{
    // Guards against attempts that multiply along a chain of calls.
    RetryBudget budget;
    RouteAttemptPolicy withoutAttempts(true, 2, 0);
    CHECK_FALSE(withoutAttempts.consumeFirst());
    RouteAttemptPolicy withOneAttempt(true, 3, 1);
    REQUIRE(withOneAttempt.consumeFirst());
    CHECK_FALSE(decide(withOneAttempt, ErrorKind::ServerCrashed, budget).retry);
}

TEST_CASE("RouteAttemptPolicy: no more servers are reached than the route allows")
{
    // Guards against a request that runs on more servers than the attempts of its route.
    RetryBudget budget;
    RouteAttemptPolicy policy(true, 2, kTreeAttempts);
    CHECK(decide(policy, ErrorKind::ServerCrashed, budget).retry);
    CHECK_FALSE(decide(policy, ErrorKind::ServerCrashed, budget).retry);
    CHECK(policy.spent() == 1);
}

TEST_CASE("RouteAttemptPolicy: the last call of a deep chain has attempts left")
{
    // Guards against grants that shrink with each hop until the last calls can't be made.
    constexpr int kDepth = 5;
    constexpr int kRemainingAttempts = 4;
    constexpr int kUnknownPeak = 1000;
    int attempts = kTreeAttempts;
    for (int hop = 0; hop < kDepth; ++hop) {
        RouteAttemptPolicy policy(true, 2, attempts);
        REQUIRE(policy.consumeFirst());
        AttemptBudget scope(policy.grantSubtree());
        attempts = scope.grantChild(kUnknownPeak);
    }
    CHECK(attempts >= kRemainingAttempts);
}

TEST_CASE("RouteAttemptPolicy: a retry is made only if it can finish in time")
{
    // Guards against work for a caller that will have given up by then.
    RetryBudget budget;
    RouteAttemptPolicy policy(true, 2, kTreeAttempts);
    CHECK_FALSE(policy.decide(ErrorKind::ServerCrashed, {10}, kExpected, budget, kNow).retry);
}
