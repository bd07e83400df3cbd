#include "retry/budgetattemptpolicy.h"

namespace Hibiscus
{

BudgetAttemptPolicy::BudgetAttemptPolicy(int allowance, bool repeatable, bool hasIdentity)
    : allowance_(allowance)
    , policy_(repeatable, hasIdentity)
{
}

bool BudgetAttemptPolicy::consumeFirst()
{
    return allowance_.consume();
}

int BudgetAttemptPolicy::grantSubtree()
{
    return allowance_.grantSubtree();
}

void BudgetAttemptPolicy::settleGrant(int granted, std::optional<int> spent)
{
    allowance_.settleGrant(granted, spent);
}

RetryDecision BudgetAttemptPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                                          TimePoint now)
{
    return policy_.decide(kind, timeLeft, expectedDuration, allowance_, budget, now);
}

ErrorKind BudgetAttemptPolicy::finalError(ErrorKind kind) const
{
    return policy_.unknownAttempt().value_or(kind);
}

int BudgetAttemptPolicy::spent() const
{
    return allowance_.spent();
}

} // namespace Hibiscus
