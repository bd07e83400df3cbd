#ifndef HIBISCUS_RETRY_ROUTEATTEMPTPOLICY_H
#define HIBISCUS_RETRY_ROUTEATTEMPTPOLICY_H

#include "retry/attemptbudget.h"
#include "retry/attemptpolicy.h"

namespace Hibiscus
{

/**
 * Policy for a call on a route, which limits the number of backend servers that one request may reach.
 *
 * A refusal by a daemon consumes neither an attempt nor a token of the retry budget, since no server was reached. The
 * request is then offered to another daemon at once, until it has been offered kMaximumOffers times.
 */
class RouteAttemptPolicy : public AttemptPolicy
{
public:
    /** Daemons to which one request is offered at most. The bound limits the cost of an overload where all refuse. */
    static constexpr int kMaximumOffers = 4;

    /** @p attempts bounds the servers that the request reaches, @p treeAttempts all attempts of its call tree. */
    RouteAttemptPolicy(bool idempotent, int attempts, int treeAttempts);

    bool consumeFirst() override;
    int grantSubtree() override;
    void settleGrant(int granted, std::optional<int> spent) override;
    RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &retryBudget,
                         TimePoint now) override;
    ErrorKind finalError(ErrorKind kind) const override;
    int spent() const override;

private:
    bool idempotent_;
    int attempts_;
    AttemptBudget budget_;
    int offers_ = 1; ///< Daemons to which the request was offered.
    int reached_ = 0; ///< Attempts that reached, or may have reached, a backend server.
    std::optional<ErrorKind> unknownOutcome_; ///< Error of the last attempt that may have run.
};

} // namespace Hibiscus

#endif
