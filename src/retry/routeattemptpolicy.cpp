#include "retry/routeattemptpolicy.h"

namespace Hibiscus
{

namespace
{

/** Whether the request reached, or may have reached, a backend server before it failed with @p kind. */
bool reachedServer(ErrorKind kind)
{
    return kind == ErrorKind::ServerRefused || errorResponseFor(kind).outcome == Outcome::Unknown;
}

/** Whether another server would fail with @p kind as well. */
bool isFinal(ErrorKind kind)
{
    return kind == ErrorKind::DeadlineExceeded || kind == ErrorKind::Cancelled || kind == ErrorKind::Internal;
}

} // namespace

RouteAttemptPolicy::RouteAttemptPolicy(bool idempotent, int attempts, int treeAttempts)
    : idempotent_(idempotent)
    , attempts_(attempts)
    , budget_(treeAttempts)
{
}

bool RouteAttemptPolicy::consumeFirst()
{
    return attempts_ > 0 && budget_.consume();
}

int RouteAttemptPolicy::grantSubtree()
{
    return budget_.grantSubtree();
}

void RouteAttemptPolicy::settleGrant(int granted, std::optional<int> spent)
{
    budget_.settleGrant(granted, spent);
}

RetryDecision RouteAttemptPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration,
                                         RetryBudget &retryBudget, TimePoint now)
{
    const bool isUnknown = errorResponseFor(kind).outcome == Outcome::Unknown;
    // "Not run" would be false if any earlier attempt may have run.
    const RetryDecision final{false, isUnknown ? kind : unknownOutcome_.value_or(kind)};
    if (isUnknown) {
        unknownOutcome_ = kind;
    }
    if (timeLeft <= Millis{0} || timeLeft < expectedDuration) {
        return final;
    }
    if (!reachedServer(kind)) {
        if (!errorResponseFor(kind).otherServerMayBeTried || offers_ >= kMaximumOffers) {
            return final;
        }
        ++offers_;
        return {true, final.error};
    }
    ++reached_;
    const bool mayRunAgain = idempotent_ || (!isUnknown && !unknownOutcome_);
    if (!mayRunAgain || isFinal(kind) || reached_ >= attempts_ || budget_.left() == 0
        || !retryBudget.tryAcquireToken(now)) {
        return final;
    }
    budget_.consume();
    return {true, final.error};
}

ErrorKind RouteAttemptPolicy::finalError(ErrorKind kind) const
{
    return unknownOutcome_.value_or(kind);
}

int RouteAttemptPolicy::spent() const
{
    return budget_.spent();
}

} // namespace Hibiscus
