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
    AlreadyBegun, ///< Late copy of a message: do nothing, the first copy sends the response.
    Fenced, ///< Already reported as never to run: respond with "not run".
    Full, ///< Memory bound reached, now fenced: respond with "not run".
    /**
     * Addressed to an earlier incarnation: this copy is not run. If it is the only copy, as on a TCP connection, the
     * attempt did not run; otherwise its outcome is unknown.
     */
    OtherIncarnation,
    FullUnfenced, ///< Memory bounds of records and fences reached: not run now, but a late copy could still begin.
};

/** What is known about an attempt. */
enum class AttemptOutcome {
    Running, ///< Query again later.
    Completed, ///< The complete response is in OutcomeReport::response.
    CompletedNotKept, ///< It ran to completion, but its response is not stored.
    NotRun, ///< It did not run and will never run.
    Unknown, ///< It may have run, or may still run.
};

struct OutcomeReport {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    StoredResponsePtr response; ///< Set if Completed.
};

/**
 * Returns what the sender of an attempt may conclude from a report. @p sinceDispatch is the time from the dispatch of
 * the attempt to the arrival of the report, on a plain monotonic clock of the sender. A sender that was paused may send
 * the query, or read the report, after the record of the attempt has expired. An attempt without a record may then have
 * run, so NotRun counts as Unknown from AttemptTable::kReportValidity on.
 */
OutcomeReport interpretReport(const OutcomeReport &report, Millis sinceDispatch);

/** Bounds of the memory of an attempt table. */
struct AttemptLimits {
    std::size_t records = 200'000; ///< Attempts that were begun; enough for 1,600 repeatable ones a second.
    std::size_t fences = 20'000; ///< Attempts that were fenced without having begun.
    ResponseLimits responses;
};

/**
 * Attempts that were sent to this process, for duplicate detection and outcome queries.
 *
 * Running attempts do not expire. Others are kept for 10 min after they were settled or fenced, or for 2 min if their
 * response was not to be kept (repeatable requests, where a second run does no harm), on a clock that does not advance
 * across pauses. Responses are kept for 2 min only: the sender queries at once, and resends get the response from the
 * arbiter. Senders wait for an outcome by polling query().
 */
class AttemptTable
{
public:
    static constexpr Millis kLifetime{10.0 * 60 * 1000};
    /** Twice the idle timeout of peer connections (60 s). The full lifetime would use 5 times the memory. */
    static constexpr Millis kRepeatableLifetime{2.0 * 60 * 1000};
    /** With the full lifetime, 100 responses of 1 KiB a second would use 72 MB. */
    static constexpr Millis kResponseLifetime{2.0 * 60 * 1000};
    /** Shorter than all lifetimes, with a margin for clocks that run at different rates. */
    static constexpr Millis kReportValidity{90.0 * 1000};

    /** @p clock is a plain monotonic clock and must outlive this object. */
    AttemptTable(Incarnation incarnation, const Clock &clock, const AttemptLimits &limits = {});

    /**
     * Registers an attempt that was sent to the process of @p incarnation, before it is queued or dispatched.
     * @p keepResponse is set for at-most-once requests. The incarnation is checked because a restarted process has
     * neither the attempts nor the fences of the previous one.
     */
    BeginResult begin(AttemptId attempt, Incarnation incarnation, bool keepResponse);

    /** Settles a running attempt with the complete response; false if it is not running. */
    bool complete(AttemptId attempt, StoredResponse response);
    /** Settles a running attempt that did not run (rejected, or reported so by the backend server), and fences it. */
    bool markNotRun(AttemptId attempt);
    /** Settles a running attempt that may have run, for example after a crash of the backend server. */
    bool markUnknown(AttemptId attempt);

    /**
     * Outcome of an attempt that was sent to the process of @p incarnation; Unknown for another incarnation. An attempt
     * without a record is fenced and reported as NotRun, or as Unknown if the bound on fences is reached.
     */
    OutcomeReport query(AttemptId attempt, Incarnation incarnation);

    /** Advances the clock and removes expired records. Must be called at least once a second. */
    void tick();

    /** Attempts in memory, including fences. */
    std::size_t recordCount() const;
    /** Bytes of stored responses and reservations. */
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
    Record *findRunning(AttemptId attempt);
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
    ExpiryQueue responseExpiries_; ///< Attempts with a stored response, in order of its expiry.
    std::size_t fenceCount_ = 0;
};

} // namespace Hibiscus

#endif
