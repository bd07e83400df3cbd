#include "retry/retrypolicy.h"

namespace Hibiscus
{

RetryPolicy::RetryPolicy(bool repeatable, bool hasIdentity)
    : repeatable_(repeatable)
    , hasIdentity_(hasIdentity)
{
}

RetryDecision RetryPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, AttemptBudget &allowance,
                                  RetryBudget &budget, TimePoint now)
{
    const bool isUnknown = answerFor(kind).outcome == Outcome::Unknown;
    // "Not run" would be false if any earlier attempt may have run.
    const ErrorKind answer = isUnknown ? kind : unknownAttempt_.value_or(kind);
    if (isUnknown) {
        unknownAttempt_ = kind;
    }

    const bool inTime = timeLeft > Millis{0} && timeLeft >= expectedDuration;
    if (!mayRetry(kind) || !inTime || allowance.left() == 0 || !budget.tryAcquireToken(now)) {
        return {false, answer};
    }
    allowance.consume();
    return {true, answer};
}

bool RetryPolicy::mayRetry(ErrorKind kind) const
{
    if (!hasIdentity_) {
        return false;
    }
    if (answerFor(kind).otherServerMayBeTried) {
        return true;
    }
    // Other kinds without a known outcome would not end differently on another server.
    return repeatable_ && (kind == ErrorKind::ConnectionLost || kind == ErrorKind::ServerCrashed);
}

} // namespace Hibiscus
