#ifndef HIBISCUS_RETRY_BUDGETATTEMPTPOLICY_H
#define HIBISCUS_RETRY_BUDGETATTEMPTPOLICY_H

#include "retry/attemptbudget.h"
#include "retry/attemptpolicy.h"
#include "retry/retrypolicy.h"

namespace Hibiscus
{

/** Policy for a call whose whole call tree shares one attempt budget, as in hibiscusdale's own call interface. */
class BudgetAttemptPolicy : public AttemptPolicy
{
public:
    /**
     * @p attempts is the attempt budget of the call tree. @p hasIdentity: whether the user action has an identity;
     * without one no call below it is retried.
     */
    BudgetAttemptPolicy(int attempts, bool repeatable, bool hasIdentity);

    bool consumeFirst() override;
    int grantSubtree() override;
    void settleGrant(int granted, std::optional<int> spent) override;
    RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &retryBudget,
                         TimePoint now) override;
    ErrorKind finalError(ErrorKind kind) const override;
    int spent() const override;

private:
    AttemptBudget budget_;
    RetryPolicy policy_;
};

} // namespace Hibiscus

#endif
