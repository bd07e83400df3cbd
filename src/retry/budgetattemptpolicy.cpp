#include "retry/budgetattemptpolicy.h"

namespace Hibiscus
{

BudgetAttemptPolicy::BudgetAttemptPolicy(int attempts, bool repeatable, bool hasIdentity)
    : budget_(attempts)
    , policy_(repeatable, hasIdentity)
{
}

bool BudgetAttemptPolicy::consumeFirst()
{
    return budget_.consume();
}

int BudgetAttemptPolicy::grantSubtree()
{
    return budget_.grantSubtree();
}

void BudgetAttemptPolicy::settleGrant(int granted, std::optional<int> spent)
{
    budget_.settleGrant(granted, spent);
}

RetryDecision BudgetAttemptPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration,
                                          RetryBudget &retryBudget, TimePoint now)
{
    return policy_.decide(kind, timeLeft, expectedDuration, budget_, retryBudget, now);
}

ErrorKind BudgetAttemptPolicy::finalError(ErrorKind kind) const
{
    return policy_.unknownOutcome().value_or(kind);
}

int BudgetAttemptPolicy::spent() const
{
    return budget_.spent();
}

} // namespace Hibiscus
