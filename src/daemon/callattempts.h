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
 * Sees one call through: chooses a server, sends the attempt, asks for the outcome of one that went silent, and retries
 * as far as RetryPolicy allows. All steps run on the strand of the call.
 */
class CallAttempts : public std::enable_shared_from_this<CallAttempts>
{
public:
    /** @p callback is called once with the end of the call; its spent attempts include those of this call. */
    CallAttempts(CallServices &services, CallRequest call, CallCallback callback);

    void start();

    /** The caller has left: ends the attempt in progress, and the callback gets ErrorKind::Cancelled. */
    void cancel();

    /** The deadline has passed: ends the call with an answer that is true of all its attempts. An attempt that may not
     * be repeated goes on. */
    void expire();

private:
    /** One attempt on one server. */
    struct Attempt {
        AttemptId id;
        ServerView server;
        int granted = 0;
        TimePoint started;
        std::shared_ptr<HttpCall> connection; ///< Null for the local server, or once the connection is lost.
        std::shared_ptr<OutcomeWatch> watch; ///< Null for the local server.
        bool ended = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    /** Function on the strand of the call. */
    using Step = std::function<void(CallAttempts &)>;

    void post(Step step);
    void beginAttempt();
    void send(const AttemptPtr &attempt);
    void sendRemote(const AttemptPtr &attempt, const CallMessage &message);
    std::shared_ptr<OutcomeWatch> watch(const AttemptPtr &attempt);
    void onTransportError(const AttemptPtr &attempt, TransportError error);
    void onAnswer(const AttemptPtr &attempt, CallResult answer);
    void endAttempt(const AttemptPtr &attempt, const CallResult &answer, bool connected);
    void afterFailure(ErrorKind kind, bool mayRetry);
    void finish(CallResult answer);
    void abort(const AttemptPtr &attempt);
    TimePoint endBy() const;

    CallServices &services_;
    CallRequest call_;
    CallCallback callback_;
    asio::strand<asio::io_context::executor_type> strand_;
    std::unique_ptr<AttemptPolicy> policy_;
    std::vector<ServerName> tried_;
    TimePoint started_;
    CallResult lastAnswer_;
    std::optional<HttpResponse> failedResponse_; ///< A backend server's own failure, in case no retry does better.
    AttemptPtr current_;
    bool ended_ = false;
};

} // namespace Hibiscus

#endif
