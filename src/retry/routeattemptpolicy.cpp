#include "retry/routeattemptpolicy.h"

namespace Hibiscus
{

namespace
{

/** Kinds after which a server has seen the request. */
bool reachedServer(ErrorKind kind)
{
    return kind == ErrorKind::ServerRefused || answerFor(kind).outcome == Outcome::Unknown;
}

/** Kinds that would not end differently on another server. */
bool isFinal(ErrorKind kind)
{
    return kind == ErrorKind::DeadlineExceeded || kind == ErrorKind::Cancelled || kind == ErrorKind::Internal;
}

} // namespace

RouteAttemptPolicy::RouteAttemptPolicy(bool idempotent, int attempts, int allowance)
    : idempotent_(idempotent)
    , attempts_(attempts)
    , allowance_(allowance)
{
}

bool RouteAttemptPolicy::consumeFirst()
{
    return attempts_ > 0 && allowance_.consume();
}

int RouteAttemptPolicy::grantSubtree()
{
    return allowance_.grantSubtree();
}

void RouteAttemptPolicy::settleGrant(int granted, std::optional<int> spent)
{
    allowance_.settleGrant(granted, spent);
}

RetryDecision RouteAttemptPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                                         TimePoint now)
{
    const bool isUnknown = answerFor(kind).outcome == Outcome::Unknown;
    // "Not run" would be false if any earlier attempt may have run.
    const RetryDecision final{false, isUnknown ? kind : unknownAttempt_.value_or(kind)};
    if (isUnknown) {
        unknownAttempt_ = kind;
    }
    if (timeLeft <= Millis{0} || timeLeft < expectedDuration) {
        return final;
    }
    if (!reachedServer(kind)) {
        if (!answerFor(kind).otherServerMayBeTried || offers_ >= kMaximumOffers) {
            return final;
        }
        ++offers_;
        return {true, final.error};
    }
    ++reached_;
    const bool mayRunAgain = idempotent_ || (!isUnknown && !unknownAttempt_);
    if (!mayRunAgain || isFinal(kind) || reached_ >= attempts_ || allowance_.left() == 0
        || !budget.tryAcquireToken(now)) {
        return final;
    }
    allowance_.consume();
    return {true, final.error};
}

ErrorKind RouteAttemptPolicy::finalError(ErrorKind kind) const
{
    return unknownAttempt_.value_or(kind);
}

int RouteAttemptPolicy::spent() const
{
    return allowance_.spent();
}

} // namespace Hibiscus
