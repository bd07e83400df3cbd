#ifndef HIBISCUS_RETRY_RETRYPOLICY_H
#define HIBISCUS_RETRY_RETRYPOLICY_H

#include "core/errorkind.h"
#include "core/millis.h"
#include "retry/attemptbudget.h"
#include "retry/attemptpolicy.h"

#include <optional>

namespace Hibiscus
{

/** Decides on the retries of one call. One object per call, as the result depends on all attempts of the call. */
class RetryPolicy
{
public:
    /** @p hasIdentity: whether the user action has an identity; without one no call below it is retried. */
    RetryPolicy(bool repeatable, bool hasIdentity);

    /**
     * Decides after an attempt failed with @p kind. @p timeLeft is the time until the deadline of the call, and
     * @p expectedDuration the usual duration of such a call. A retry that can't finish in time is not made.
     */
    RetryDecision decide(ErrorKind kind, Millis timeLeft, Millis expectedDuration, AttemptBudget &attemptBudget,
                         RetryBudget &retryBudget, TimePoint now);

    /** Error of the last attempt that may have run; empty if the outcome of every attempt is known. */
    std::optional<ErrorKind> unknownOutcome() const
    {
        return unknownOutcome_;
    }

private:
    bool mayRetry(ErrorKind kind) const;

    bool repeatable_;
    bool hasIdentity_;
    std::optional<ErrorKind> unknownOutcome_; ///< Error of the last attempt that may have run.
};

} // namespace Hibiscus

#endif
