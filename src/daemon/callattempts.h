#ifndef HIBISCUS_DAEMON_CALLATTEMPTS_H
#define HIBISCUS_DAEMON_CALLATTEMPTS_H

#include "daemon/callservices.h"
#include "daemon/outcomewatch.h"
#include "retry/attemptpolicy.h"

#include <memory>
#include <vector>

#include <asio/strand.hpp>

namespace Hibiscus
{

/**
 * Runs one call to its end: chooses a server, sends the attempt, queries the outcome of an attempt whose daemon went
 * silent, and retries as far as the AttemptPolicy allows. All steps run on the strand of the call.
 */
class CallAttempts : public std::enable_shared_from_this<CallAttempts>
{
public:
    /** @p callback is called once with the result of the call, whose spent attempts include those of this call. */
    CallAttempts(CallServices &services, CallRequest call, CallCallback callback);

    void start();

    /** The caller has disconnected: ends the attempt in progress and calls the callback with ErrorKind::Cancelled. */
    void cancel();

    /** The deadline has passed: ends the call with a result that holds for all its attempts. A non-repeatable attempt
     * goes on. */
    void expire();

private:
    /** One attempt on one server. */
    struct Attempt {
        AttemptId id;
        ServerView server;
        int granted = 0; ///< Attempts that the calls below this attempt may use.
        TimePoint started;
        // The callbacks of connection and watch refer to the attempt, and their own operations keep both until they
        // end.
        std::weak_ptr<HttpCall> connection; ///< Empty for the local server, or once the connection is lost.
        std::weak_ptr<OutcomeWatch> watch; ///< Empty for the local server.
        bool ended = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    /** Function to run on the strand of the call. */
    using Step = std::function<void(CallAttempts &)>;

    void post(Step step);
    void beginAttempt();
    void send(const AttemptPtr &attempt);
    void sendRemote(const AttemptPtr &attempt, const CallMessage &message);
    void startWatch(const AttemptPtr &attempt);
    void onTransportError(const AttemptPtr &attempt, TransportError error);
    void onResult(const AttemptPtr &attempt, CallResult result);
    void endAttempt(const AttemptPtr &attempt, const CallResult &result, bool connected);
    void handleFailure(ErrorKind kind, bool mayRetry);
    void finish(CallResult result);
    void abortAttempt(const AttemptPtr &attempt);
    /** Time until which the outcome of an attempt is awaited; after the call's deadline if it is not repeatable. */
    TimePoint outcomeDeadline() const;

    CallServices &services_;
    CallRequest call_;
    CallCallback callback_;
    asio::strand<asio::io_context::executor_type> strand_;
    std::unique_ptr<AttemptPolicy> policy_;
    std::vector<ServerName> tried_;
    TimePoint started_;
    CallResult lastResult_;
    std::optional<HttpResponse> failedResponse_; ///< Latest 5xx response; returned if no retry succeeds.
    AttemptPtr current_;
    bool ended_ = false;
};

} // namespace Hibiscus

#endif
