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
    TimePoint endBy; ///< Nothing is asked any more after this time.
    bool repeatable = false;
};

/**
 * Asks the daemon of an attempt what became of it, over a connection of its own: when the attempt takes unusually long,
 * when its daemon answers nothing to anybody, or when its connection is lost. All steps run on the strand of the call.
 */
class OutcomeWatch : public std::enable_shared_from_this<OutcomeWatch>
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    /** Time to reach another daemon; one that doesn't accept within it is cut off, has lost power or is overloaded. */
    static constexpr Millis kConnectTimeout{200};
    /** Longest time for the answer to a query. */
    static constexpr Millis kQueryTimeout{1000};

    struct Callbacks {
        /** The connection on which the attempt was sent still stands. */
        std::function<bool()> isConnected;
        /** End of the attempt, as its daemon tells it or as it must be taken. */
        std::function<void(CallResult)> ended;
        /** The daemon of a repeatable attempt can't be reached. */
        std::function<void()> unreachable;
    };

    OutcomeWatch(CallServices &services, const Strand &strand, WatchedAttempt attempt, Callbacks callbacks);

    /** Begins to wait. */
    void start();
    /** Asks now. */
    void query();
    /** No callback is called any more. */
    void stop();

private:
    Millis silenceThreshold() const;
    Millis daemonSilenceThreshold() const;
    void armTimer(Millis delay);
    void checkSilence();
    void onReport(const HttpResult &result);
    void onFailedQuery(TransportError error);
    void end(CallResult answer);
    CallResult believed(CallResult answer) const;

    CallServices &services_;
    Strand strand_;
    asio::steady_timer timer_;
    WatchedAttempt attempt_;
    Callbacks callbacks_;
    int failedQueries_ = 0;
    bool queryPending_ = false;
    bool queried_ = false; ///< At least once.
    bool stopped_ = false;
};

} // namespace Hibiscus

#endif
