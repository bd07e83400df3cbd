#ifndef HIBISCUS_DAEMON_OUTCOMEWATCH_H
#define HIBISCUS_DAEMON_OUTCOMEWATCH_H

#include "daemon/callservices.h"

#include <functional>
#include <memory>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace Hibiscus
{

/** An attempt that was sent to another daemon. */
struct WatchedAttempt {
    AttemptId id;
    ServerView server;
    TimePoint started;
    ServiceName service;
    ServiceName durationKey; ///< As CallRequest::durationKey().
    TimePoint outcomeDeadline; ///< No query is sent after this time.
    bool repeatable = false;
};

/**
 * Queries the outcome of an attempt from its daemon over a separate connection, in three cases: the attempt takes
 * unusually long, the daemon has sent no response to any call for a while, or the connection of the attempt is lost.
 * All steps run on the strand of the call.
 */
class OutcomeWatch : public std::enable_shared_from_this<OutcomeWatch>
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    /** Time to connect to another daemon; one that does not accept within it is unreachable, down or overloaded. */
    static constexpr Millis kConnectTimeout{200};
    /** Longest time for the response to a query. */
    static constexpr Millis kQueryTimeout{1000};

    struct Callbacks {
        /** Whether the connection on which the attempt was sent is still open. */
        std::function<bool()> isConnected;
        /** The attempt has ended with this result, reported by its daemon or concluded without it. */
        std::function<void(CallResult)> ended;
        /** The daemon of a repeatable attempt accepts no connection. */
        std::function<void()> unreachable;
    };

    OutcomeWatch(CallServices &services, const Strand &strand, WatchedAttempt attempt, Callbacks callbacks);

    /** Starts the timer of the first query. */
    void start();
    /** Sends a query now, unless one is pending; ends the attempt if its outcome deadline has passed. */
    void query();
    /** Stops the watch; no callback is called after this. */
    void stop();

private:
    Millis lateThreshold() const;
    Millis daemonSilenceThreshold() const;
    void armTimer(Millis delay);
    void checkSilence();
    void onQueryResult(const HttpResult &result);
    void onQueryFailed(TransportError error);
    void end(CallResult result);
    /** What may be concluded from a daemon's report, given the time since the attempt was sent. */
    CallResult interpret(CallResult result) const;

    CallServices &services_;
    Strand strand_;
    asio::steady_timer timer_;
    WatchedAttempt attempt_;
    Callbacks callbacks_;
    int failedQueries_ = 0;
    bool queryPending_ = false;
    bool queried_ = false; ///< A query was sent at least once.
    bool stopped_ = false;
};

} // namespace Hibiscus

#endif
