#ifndef HIBISCUS_RETRY_ATTEMPTPOLICY_H
#define HIBISCUS_RETRY_ATTEMPTPOLICY_H

#include "core/errorkind.h"
#include "core/millis.h"
#include "retry/retrybudget.h"

#include <optional>

namespace Hibiscus
{

/** What to do after a failed attempt. */
struct RetryDecision {
    /** Make one more attempt, on another server. The attempt and the token that it costs, if any, are consumed. */
    bool retry = false;
    /** If not retried: the error to report to the caller. Its outcome holds for all attempts of the call. */
    ErrorKind error = ErrorKind::Internal;
};

/** Decides on the attempts of one call. One object per call, as the result depends on all attempts of the call. */
class AttemptPolicy
{
public:
    virtual ~AttemptPolicy() = default;

    /** Consumes the first attempt; false if the call may make none. */
    virtual bool consumeFirst() = 0;

    /** Moves attempts to the calls below the next attempt and returns their number. */
    virtual int grantSubtree() = 0;

    /** Ends a grant. @p spent is the number of attempts that the calls below used; empty if it isn't known. */
    virtual void settleGrant(int granted, std::optional<int> spent) = 0;

    /**
     * Decides after an attempt failed with @p kind. @p timeLeft is the time until the deadline of the call, and
     * @p expectedDuration the usual duration of such a call. A retry that can't finish in time is not made.
     */
    virtual RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                                 TimePoint now) = 0;

    /**
     * Error to report if the call ends with @p kind, an error that no attempt returned. Its outcome holds for all
     * attempts of the call.
     */
    virtual ErrorKind finalError(ErrorKind kind) const = 0;

    /** Attempts used so far by the call and the calls below it. */
    virtual int spent() const = 0;
};

} // namespace Hibiscus

#endif
