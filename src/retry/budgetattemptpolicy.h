#ifndef HIBISCUS_RETRY_BUDGETATTEMPTPOLICY_H
#define HIBISCUS_RETRY_BUDGETATTEMPTPOLICY_H

#include "retry/attemptbudget.h"
#include "retry/attemptpolicy.h"
#include "retry/retrypolicy.h"

namespace Hibiscus
{

/** Attempts of a call whose whole tree shares one allowance, as under the product's own interface. */
class BudgetAttemptPolicy : public AttemptPolicy
{
public:
    /** @p hasIdentity: whether the user action has an identity; without one no call below it is retried. */
    BudgetAttemptPolicy(int allowance, bool repeatable, bool hasIdentity);

    bool consumeFirst() override;
    int grantSubtree() override;
    void settleGrant(int granted, std::optional<int> spent) override;
    RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                         TimePoint now) override;
    ErrorKind finalError(ErrorKind kind) const override;
    int spent() const override;

private:
    AttemptBudget allowance_;
    RetryPolicy policy_;
};

} // namespace Hibiscus

#endif
