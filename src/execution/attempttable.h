#ifndef HIBISCUS_EXECUTION_ATTEMPTTABLE_H
#define HIBISCUS_EXECUTION_ATTEMPTTABLE_H

#include "core/ids.h"
#include "core/pausesafeclock.h"
#include "execution/responsebudget.h"
#include "execution/storedresponse.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace Hibiscus
{

/** Whether an attempt may be dispatched. */
enum class BeginResult {
    Begun, ///< Dispatch it, and settle it afterwards.
    AlreadyBegun, ///< Late copy of a message: do nothing, the first copy answers.
    Fenced, ///< Promised never to run: answer as not run.
    Full, ///< Memory bound reached, fenced: answer as not run.
    /**
     * Addressed to a predecessor of this process: this copy does not run. Where it was the only copy, as on a TCP
     * connection, the attempt did not run; otherwise its outcome is unknown.
     */
    OtherIncarnation,
    FullUnfenced, ///< Memory bound reached and no room for a fence: not run now, but a late copy could still begin.
};

/** What is known about an attempt. */
enum class AttemptOutcome {
    Running, ///< Query again later.
    Completed, ///< The complete response is in OutcomeReport::response.
    CompletedNotKept, ///< It ran to completion, but its response was not kept.
    NotRun, ///< It did not run and never will.
    Unknown, ///< It may have run, or may still run.
};

struct OutcomeReport {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    StoredResponsePtr response; ///< Set if Completed.
};

/**
 * What the sender of an attempt may conclude from a report. @p sinceDispatch is the time from the dispatch of the
 * attempt to the arrival of the report, on a plain monotonic clock of the sender. A sender that was paused may ask, or
 * read the answer, after the record of the attempt has expired; "never seen" then says nothing, so a NotRun that is
 * older than AttemptTable::kReportValidity counts as Unknown.
 */
OutcomeReport interpretReport(const OutcomeReport &report, Millis sinceDispatch);

/** Bounds of the memory of an attempt table. */
struct AttemptLimits {
    std::size_t records = 200'000; ///< Attempts that were begun; 1,600 repeatable ones a second fit.
    std::size_t fences = 20'000; ///< Attempts that were fenced without having begun.
    ResponseLimits responses;
};

/**
 * Attempts that this process was given to run, for duplicate detection and outcome queries.
 *
 * Running attempts do not expire. Others are kept for 10 min after they were settled or fenced, and for 2 min if no
 * answer was to be kept (repeatable requests, where a second run does no harm), on a clock that does not advance across
 * pauses. Answers are kept for 2 min only: the sender asks at once, and resends get the answer from the arbiter.
 * Waiting for an outcome is by polling query().
 */
class AttemptTable
{
public:
    static constexpr Millis kLifetime{10.0 * 60 * 1000};
    /** Twice the idle timeout of peer connections (60 s); the full lifetime would take 5 times the memory. */
    static constexpr Millis kRepeatableLifetime{2.0 * 60 * 1000};
    /** With the full lifetime, 100 answers of 1 KiB a second would take 72 MB. */
    static constexpr Millis kResponseLifetime{2.0 * 60 * 1000};
    /** Below all lifetimes, with a margin for clocks that run at different rates. */
    static constexpr Millis kReportValidity{90.0 * 1000};

    /** @p clock is a plain monotonic clock and must outlive this object. */
    AttemptTable(Incarnation incarnation, const Clock &clock, const AttemptLimits &limits = {});

    /**
     * Registers an attempt that was sent to the process of @p incarnation, before it is queued or dispatched.
     * @p keepResponse is set for at-most-once requests. The incarnation is checked because a restarted process knows
     * neither the attempts nor the fences of its predecessor.
     */
    BeginResult begin(AttemptId attempt, Incarnation incarnation, bool keepResponse);

    /** Settles a running attempt with the complete response; false if it is not running. */
    bool complete(AttemptId attempt, StoredResponse response);
    /** Settles a running attempt that was not run (rejected, or marked so by the backend server), and fences it. */
    bool markNotRun(AttemptId attempt);
    /** Settles a running attempt that may have run, for instance after a crash of the backend server. */
    bool markUnknown(AttemptId attempt);

    /**
     * Outcome of an attempt that was sent to the process of @p incarnation. Another incarnation is answered Unknown.
     * An attempt never seen is fenced and reported as NotRun, or as Unknown if there is no room for the fence.
     */
    OutcomeReport query(AttemptId attempt, Incarnation incarnation);

    /** Advances the clock and forgets expired records. To be called at least once a second. */
    void tick();

    /** Attempts in memory, fences included. */
    std::size_t recordCount() const;
    /** Bytes of stored answers and reservations. */
    std::size_t responseBytes() const;

private:
    struct Record {
        AttemptOutcome outcome = AttemptOutcome::Running;
        bool keepResponse = false;
        bool fenceOnly = false; ///< Counted against AttemptLimits::fences.
        StoredResponsePtr response;
    };

    struct Expiry {
        TimePoint at;
        AttemptId attempt;
    };

    using ExpiryQueue = std::deque<Expiry>;

    bool fence(AttemptId attempt);
    Record *running(AttemptId attempt);
    void settle(AttemptId attempt, Record &record, AttemptOutcome outcome);
    void expireResponses();
    void expire(ExpiryQueue &queue);

    Incarnation incarnation_;
    PauseSafeClock clock_;
    AttemptLimits limits_;
    ResponseBudget budget_;
    std::unordered_map<AttemptId, Record> records_;
    ExpiryQueue expiries_; ///< Settled at-most-once attempts and fences, in order of expiry.
    ExpiryQueue repeatableExpiries_; ///< Settled repeatable attempts, in order of expiry.
    ExpiryQueue responseExpiries_; ///< Attempts with a stored answer, in order of its expiry.
    std::size_t fenceCount_ = 0;
};

} // namespace Hibiscus

#endif
