#ifndef HIBISCUS_RETRY_ROUTEATTEMPTPOLICY_H
#define HIBISCUS_RETRY_ROUTEATTEMPTPOLICY_H

#include "retry/attemptbudget.h"
#include "retry/attemptpolicy.h"

namespace Hibiscus
{

/**
 * Attempts of a call on a route, which bounds the backend servers that one request may reach.
 *
 * A refusal by a daemon costs neither an attempt nor a token of the budget, since no server was reached: the request is
 * offered elsewhere at once, a few times.
 */
class RouteAttemptPolicy : public AttemptPolicy
{
public:
    /** Daemons to which one request is offered at most, so that overload costs little where everybody refuses. */
    static constexpr int kMaximumOffers = 4;

    /** @p attempts bounds the servers that the request reaches, @p allowance all attempts of its call tree. */
    RouteAttemptPolicy(bool idempotent, int attempts, int allowance);

    bool consumeFirst() override;
    int grantSubtree() override;
    void settleGrant(int granted, std::optional<int> spent) override;
    RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                         TimePoint now) override;
    ErrorKind finalError(ErrorKind kind) const override;
    int spent() const override;

private:
    bool idempotent_;
    int attempts_;
    AttemptBudget allowance_;
    int offers_ = 1;
    int reached_ = 0; ///< Attempts that reached a backend server, or may have.
    std::optional<ErrorKind> unknownAttempt_; ///< Why the fate of an earlier attempt is unknown.
};

} // namespace Hibiscus

#endif
