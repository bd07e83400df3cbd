#include "retry/attemptbudget.h"

#include "core/attemptlimit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Hibiscus;

namespace
{

/**
 * Simulates a call that makes attempts, each with child calls. Returns the attempts that it reports as spent; empty if
 * its response is lost.
 */
std::optional<int> runCall(AttemptBudget &budget, int depth, int &attempts)
{
    const int wantedAttempts = *rc::gen::inRange(1, 4);
    for (int i = 0; i < wantedAttempts && budget.consume(); ++i) {
        ++attempts;
        const int children = depth == 0 ? 0 : *rc::gen::inRange(0, 3);
        for (int child = 0; child < children; ++child) {
            const int before = budget.left();
            const int granted = budget.grantChild(*rc::gen::inRange(0, 100));
            RC_ASSERT(granted == (before == 0 ? 0 : std::max(1, granted)));
            RC_ASSERT(granted <= std::max(1, before * 7 / 8));
            AttemptBudget childBudget(granted);
            const std::optional<int> spent = runCall(childBudget, depth - 1, attempts);
            budget.settleGrant(granted, spent);
        }
    }
    return *rc::gen::inRange(0, 4) == 0 ? std::nullopt : std::optional(budget.spent());
}

} // namespace

TEST_CASE("AttemptBudget: the attempts of a call tree stay within the total, however deep it is")
{
    // Guards against retries that multiply at each level of the tree, and attempts that are returned after a lost
    // response.
    CHECK(rc::check("call tree", [] {
        AttemptBudget root(kAttemptsPerUserAction);
        int attempts = 0;
        runCall(root, *rc::gen::inRange(0, 10), attempts);
        RC_ASSERT(attempts <= root.spent());
        RC_ASSERT(root.spent() <= kAttemptsPerUserAction);
    }));
}

TEST_CASE("AttemptBudget: grants and settlements")
{
    // Guards against a child call that leaves no attempts to its siblings, and against reports of other processes that
    // raise the total.
    const struct {
        int left, peak, granted;
    } grants[] = {{64, 0, 4}, {64, 10, 24}, {64, 1'000'000'000, 56}, {64, -5, 4}, {4, 10, 3}, {1, 0, 1},
                  {0, 9, 0},  {-3, 9, 0}};
    for (const auto &[left, peak, granted] : grants) {
        CAPTURE(left);
        CHECK(AttemptBudget(left).grantChild(peak) == granted);
    }

    const struct {
        int granted;
        std::optional<int> spent;
        int left;
    } settlements[] = {{24, 5, 59}, {24, 0, 64}, {24, -9, 64}, {24, 99, 40}, {24, {}, 40}, {50, 0, 64}};
    for (const auto &[granted, spent, left] : settlements) {
        CAPTURE(granted);
        AttemptBudget budget(64);
        budget.grantChild(10);
        budget.settleGrant(granted, spent);
        CHECK(budget.left() == left);
        budget.settleGrant(granted, 0);
        CHECK(budget.left() == left);
    }
}

TEST_CASE("AttemptBudget: a chain of 9 calls gets attempts without a history, with retries left at each level")
{
    // Guards against grants so small that the deepest call of a chain of the permitted length gets no attempt.
    constexpr int kDepth = 9;
    constexpr int kUnknownPeak = 1000;
    constexpr int kRootAttempts = kAttemptsPerUserAction - 8;
    int granted = kRootAttempts;
    for (int depth = 1; depth <= kDepth; ++depth) {
        CAPTURE(depth);
        AttemptBudget call(granted);
        REQUIRE(call.consume());
        AttemptBudget attempt(call.grantSubtree());
        CHECK(call.spent() + call.left() == granted);
        granted = attempt.grantChild(kUnknownPeak);
    }
}
