#include "retry/budgetattemptpolicy.h"

namespace Hibiscus
{

BudgetAttemptPolicy::BudgetAttemptPolicy(int allowance, bool repeatable, bool hasIdentity)
    : allowance_(allowance)
    , policy_(repeatable, hasIdentity)
{
}

bool BudgetAttemptPolicy::takeFirst()
{
    return allowance_.takeOne();
}

int BudgetAttemptPolicy::grant()
{
    return allowance_.grantSubtree();
}

void BudgetAttemptPolicy::settle(int granted, std::optional<int> spent)
{
    allowance_.settleChild(granted, spent);
}

RetryDecision BudgetAttemptPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                                          TimePoint now)
{
    return policy_.decide(kind, timeLeft, expectedDuration, allowance_, budget, now);
}

ErrorKind BudgetAttemptPolicy::answerFor(ErrorKind kind) const
{
    return policy_.unknownAttempt().value_or(kind);
}

int BudgetAttemptPolicy::spent() const
{
    return allowance_.spent();
}

} // namespace Hibiscus
