#include "retry/routeattemptpolicy.h"

namespace Hibiscus
{

namespace
{

/** Kinds after which a server has seen the request. */
bool reachedServer(ErrorKind kind)
{
    return kind == ErrorKind::ServerRefused || Hibiscus::errorResponseFor(kind).outcome == Outcome::Unknown;
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

bool RouteAttemptPolicy::takeFirst()
{
    return attempts_ > 0 && allowance_.takeOne();
}

int RouteAttemptPolicy::grant()
{
    return allowance_.grantSubtree();
}

void RouteAttemptPolicy::settle(int granted, std::optional<int> spent)
{
    allowance_.settleChild(granted, spent);
}

RetryDecision RouteAttemptPolicy::decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                                         TimePoint now)
{
    const bool isUnknown = Hibiscus::errorResponseFor(kind).outcome == Outcome::Unknown;
    // "Not run" would be false if any earlier attempt may have run.
    const RetryDecision final{false, isUnknown ? kind : unknownAttempt_.value_or(kind)};
    if (isUnknown) {
        unknownAttempt_ = kind;
    }
    if (timeLeft <= Millis{0} || timeLeft < expectedDuration) {
        return final;
    }
    if (!reachedServer(kind)) {
        if (!Hibiscus::errorResponseFor(kind).otherServerMayBeTried || offers_ >= kMaximumOffers) {
            return final;
        }
        ++offers_;
        return {true, final.answer};
    }
    ++reached_;
    const bool mayRunAgain = idempotent_ || (!isUnknown && !unknownAttempt_);
    if (!mayRunAgain || isFinal(kind) || reached_ >= attempts_ || allowance_.left() == 0 || !budget.tryTakeRetry(now)) {
        return final;
    }
    allowance_.takeOne();
    return {true, final.answer};
}

ErrorKind RouteAttemptPolicy::answerFor(ErrorKind kind) const
{
    return unknownAttempt_.value_or(kind);
}

int RouteAttemptPolicy::spent() const
{
    return allowance_.spent();
}

} // namespace Hibiscus
