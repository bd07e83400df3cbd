#ifndef HIBISCUS_DAEMON_CALLSCOPETABLE_H
#define HIBISCUS_DAEMON_CALLSCOPETABLE_H

#include "core/clock.h"
#include "daemon/callrequest.h"
#include "retry/attemptallowance.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace Hibiscus
{

/** What the calls below one running attempt inherit from it. */
struct CallScope {
    RootContext root; ///< With the identity under which calls below are arbitrated.
    std::string callPath;
    TimePoint deadline;
    AttemptAllowance attemptBudget{0};
};

/** One call below a running attempt. */
struct ChildCall {
    RootContext root;
    std::string callPath;
    TimePoint deadline;
    int granted = 0;
    std::string key; ///< As given to beginChild().
};

/** How a call names itself among the calls below one attempt. */
struct ChildKey {
    std::string text;
    bool isExplicit = false; ///< Chosen by the backend server, which then repeats it only for a resend.
};

/** What an attempt's calls further down amounted to. */
struct ScopeSummary {
    int spent = 0; ///< Attempts below the attempt.
    Millis waitingForChildren; ///< Time during which at least one call was outstanding.
    int subtreeLevel = 0;
    bool nonRepeatableMayHaveRun = false;
};

/** How an attempt ended at this daemon. */
enum class ScopeEnd {
    Finished, ///< By the backend server, or with its process; it may make further calls of its own.
    Abandoned, ///< By this daemon, which closed the connection; the server may not have noticed yet.
};

/** The attempts that run on the local backend server, by the id in their Hibiscus-Context header. */
class CallScopeTable
{
public:
    /** @p clock must outlive the table. */
    explicit CallScopeTable(const Clock &clock);

    /** Above the time that a backend server takes to notice the end of a connection. */
    static constexpr Millis kAbandonedLifetime{5000};
    /** Bound of the memory of abandoned requests; beyond it the oldest are forgotten. */
    static constexpr std::size_t kMaximumAbandoned = 4096;

    /** @p requestId names the request to the backend server, which may refer to it in the calls that it makes. */
    void open(AttemptId attempt, CallScope scope, const std::string &requestId = {});

    /** Running attempt of the request that was opened under that name. */
    std::optional<AttemptId> find(const std::string &requestId) const;

    /** Whether the latest attempt of that request was given up here, so that nobody waits for the calls below it. Known
     * for kAbandonedLifetime. */
    bool isAbandoned(const std::string &requestId) const;

    /**
     * Starts a call below @p attempt. A derived key that is used again after a complete response names a new call, and
     * otherwise a resend of the same one. So the same sequence of calls gets the same names when the attempt is
     * retried. @p recentPeak is as for AttemptAllowance::grantChild(). Empty if the attempt has ended or is unknown.
     */
    std::optional<ChildCall> beginChild(AttemptId attempt, const ChildKey &key, int recentPeak);

    /** Ends a call that beginChild() started. */
    void endChild(AttemptId attempt, const ChildCall &child, const CallResult &answer, bool repeatable);

    /** Forgets the attempt; calls that are still outstanding find it gone. */
    ScopeSummary close(AttemptId attempt, ScopeEnd end = ScopeEnd::Finished);

    std::size_t size() const;

private:
    void noteAbandoned(const std::string &requestId);

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
