#ifndef HIBISCUS_DAEMON_CALLSCOPETABLE_H
#define HIBISCUS_DAEMON_CALLSCOPETABLE_H

#include "core/clock.h"
#include "daemon/callrequest.h"
#include "retry/attemptbudget.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace Hibiscus
{

/** Properties that the calls below one running attempt inherit from it. */
struct CallScope {
    RootContext root; ///< Includes the identity under which the calls below are arbitrated.
    std::string callPath;
    TimePoint deadline;
    AttemptBudget attemptBudget{0};
};

/** One call below a running attempt. */
struct ChildCall {
    RootContext root;
    std::string callPath;
    TimePoint deadline;
    int granted = 0; ///< Attempts that this call and all calls below it may use.
    std::string key; ///< As given to beginChild().
};

/** Key of a call among the calls below one attempt. */
struct ChildKey {
    std::string text;
    bool isExplicit = false; ///< Chosen by the backend server, which reuses it only to resend the call.
};

/** Totals of the calls below one attempt. */
struct ScopeSummary {
    int spent = 0; ///< Attempts below the attempt.
    Millis waitingForChildren; ///< Time during which at least one call was outstanding.
    int subtreeLevel = 0; ///< Highest admission level that these calls reported.
    bool childFailed = false; ///< Whether a call below the attempt failed or is still outstanding.
    bool nonRepeatableMayHaveRun = false; ///< Whether a non-repeatable call below the attempt may have run.
};

/** How an attempt ended at this daemon. */
enum class ScopeEnd {
    Finished, ///< The backend server responded or its process ended; it may make further calls of its own.
    Abandoned, ///< This daemon closed the connection; the server may not have noticed yet.
};

/** The attempts that run on the local backend server, by the id in their Hibiscus-Context header. */
class CallScopeTable
{
public:
    /** @p clock must outlive the table. */
    explicit CallScopeTable(const Clock &clock);

    /** Longer than a backend server takes to notice that its connection was closed. */
    static constexpr Millis kAbandonedLifetime{5000};
    /** Largest number of abandoned requests that are remembered; beyond it the oldest are dropped. */
    static constexpr std::size_t kMaximumAbandoned = 4096;

    /** Adds a running attempt. The backend server may name @p requestId in the calls that it makes for the request. */
    void open(AttemptId attempt, CallScope scope, const std::string &requestId = {});

    /** Running attempt of the request with that id; empty if there is none. */
    std::optional<AttemptId> find(const std::string &requestId) const;

    /** Whether the latest attempt of that request was abandoned here, so that nobody waits for the calls below it.
     * Remembered for kAbandonedLifetime. */
    bool isAbandoned(const std::string &requestId) const;

    /**
     * Starts a call below @p attempt. A derived key that is used again identifies a new call if the previous one got a
     * complete response, and otherwise a resend of it. Thus the same sequence of calls gets the same call paths when
     * the attempt is retried. @p recentPeak is passed to AttemptBudget::grantChild(). Empty if the attempt has ended
     * or is unknown.
     */
    std::optional<ChildCall> beginChild(AttemptId attempt, const ChildKey &key, int recentPeak);

    /** Ends a call that beginChild() started. */
    void endChild(AttemptId attempt, const ChildCall &child, const CallResult &result, bool repeatable);

    /** Removes the attempt and returns the totals of its calls. endChild() ignores calls that are still outstanding. */
    ScopeSummary close(AttemptId attempt, ScopeEnd end = ScopeEnd::Finished);

    std::size_t size() const;

private:
    void recordAbandoned(const std::string &requestId);

    struct Entry {
        CallScope scope;
        std::map<std::string, int> completed; ///< Complete responses by key.
        int outstanding = 0;
        TimePoint waitingSince;
        ScopeSummary summary;
        std::string requestId{};
    };

    const Clock &clock_;
    std::unordered_map<AttemptId, Entry> entries_;
    std::unordered_map<std::string, AttemptId> byRequest_;
    std::unordered_map<std::string, TimePoint> abandoned_; ///< Time of the end by request id.
    std::deque<std::pair<TimePoint, std::string>> abandonedOrder_; ///< Oldest first; may name requests that run again.
};

} // namespace Hibiscus

#endif
