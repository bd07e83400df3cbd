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
    bool retry = false; ///< Make one more attempt, on another server; its attempt and token are already taken.
    ErrorKind error = ErrorKind::Internal; ///< If not retried: what the caller is told. True for all attempts.
};

/** Decides on the attempts of one call. One object per call, as the answer depends on all attempts of the call. */
class AttemptPolicy
{
public:
    virtual ~AttemptPolicy() = default;

    /** Takes the first attempt; false if the call may make none. */
    virtual bool consumeFirst() = 0;

    /** Moves attempts to the calls below the next attempt and returns their number. */
    virtual int grantSubtree() = 0;

    /** Ends a grant. @p spent is what the calls below used; empty if that isn't known. */
    virtual void settleGrant(int granted, std::optional<int> spent) = 0;

    /**
     * Decides after an attempt failed with @p kind. @p timeLeft is the time until the deadline of the call, and
     * @p expectedDuration the usual duration of such a call; a retry that can't finish in time is not made.
     */
    virtual RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, RetryBudget &budget,
                                 TimePoint now) = 0;

    /** What is true of all attempts if the call ends with @p kind, which no attempt has met. */
    virtual ErrorKind finalError(ErrorKind kind) const = 0;

    /** Attempts used so far by the call and the calls below it. */
    virtual int spent() const = 0;
};

} // namespace Hibiscus

#endif
