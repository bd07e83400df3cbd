#include "retry/retrypolicy.h"

namespace Hibiscus
{

RetryPolicy::RetryPolicy(bool repeatable, bool hasIdentity)
    : repeatable_(repeatable)
    , hasIdentity_(hasIdentity)
{
}

RetryDecision RetryPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration,
                                  AttemptBudget &attemptBudget, RetryBudget &retryBudget, TimePoint now)
{
    const bool isUnknown = errorResponseFor(kind).outcome == Outcome::Unknown;
    // "Not run" would be false if any earlier attempt may have run.
    const ErrorKind error = isUnknown ? kind : unknownOutcome_.value_or(kind);
    if (isUnknown) {
        unknownOutcome_ = kind;
    }

    const bool inTime = timeLeft > Millis{0} && timeLeft >= expectedDuration;
    if (!mayRetry(kind) || !inTime || attemptBudget.left() == 0 || !retryBudget.tryAcquireToken(now)) {
        return {false, error};
    }
    attemptBudget.consume();
    return {true, error};
}

bool RetryPolicy::mayRetry(ErrorKind kind) const
{
    if (!hasIdentity_) {
        return false;
    }
    if (errorResponseFor(kind).otherServerMayBeTried) {
        return true;
    }
    // Other errors of unknown outcome would occur on another server as well.
    const bool isOfServer =
        kind == ErrorKind::ConnectionLost || kind == ErrorKind::ServerCrashed || kind == ErrorKind::BadAnswer;
    return repeatable_ && isOfServer;
}

} // namespace Hibiscus
