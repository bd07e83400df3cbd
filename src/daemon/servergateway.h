#ifndef HIBISCUS_DAEMON_SERVERGATEWAY_H
#define HIBISCUS_DAEMON_SERVERGATEWAY_H

#include "core/clock.h"
#include "daemon/backendprotocol.h"
#include "daemon/callmessage.h"
#include "daemon/serverhealth.h"
#include "daemon/servinggate.h"
#include "daemon/sharedtables.h"
#include "http/httpclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Hibiscus
{

/** Runs attempts on the local backend server: duplicate check, quarantine, admission, dispatch, outcome. */
class ServerGateway
{
public:
    ServerGateway(const DaemonIdentity &self, SharedTables &tables, HttpClient &client, ServerHealth &health,
                  const ServingGate &gate, const BackendProtocol &protocol, const Clock &clock);

    /** Called when the local server says in a response that it is leaving. */
    void setLeavingCallback(std::function<void()> callback);

    /** Runs one attempt. @p callback is called once, possibly before execute() returns. */
    void execute(CallMessage message, CallCallback callback);

    /** Cancels an attempt for which nobody waits any more: a queued one is removed, and a running one is aborted if it
     * is repeatable. */
    void cancel(AttemptId attempt);

    /** Refuses the queued attempts that the serving gate no longer admits. */
    void recheckQueue();

    /** Starts or refuses queued attempts as time passes. To be called every 10 ms. */
    void tick();

    /** The server responded to a health check, which counts under its limit like any request. */
    void healthCheckEnded(const HttpResponse &response);

    /** Another process of the backend server has started, so responses to earlier attempts say nothing about it. */
    void serverReplaced();

    /** Number of attempts that are queued or running. */
    std::size_t inFlight() const;

    /** Tells the admission control that the backend server came up or went down. A server that came up is cold for
     * @p coldStart; none if it was only unknown to this process. */
    void setServerHealthy(bool healthy, Millis coldStart = ConcurrencyLimit::kDefaultColdStart);

private:
    /** An attempt from its arrival until its end. */
    struct Pending {
        CallMessage message;
        CallCallback callback;
        TimePoint started;
        int serverProcess = 0; ///< Value of serverProcess_ when the attempt was sent.
        bool isSuspect = false;
        bool cancelled = false;
        /** To the backend server, while the attempt runs there. Weak, since its callback refers to the attempt. */
        std::weak_ptr<HttpCall> connection{};
    };
    using PendingPtr = std::shared_ptr<Pending>;

    /** Checks for duplicates, the serving gate and the quarantine. False if the attempt was refused and has ended. */
    bool beginAttempt(const PendingPtr &pending);
    /** Starts and refuses the attempts that the admission control chose. */
    void applyDispatch(const Dispatch &dispatch);
    void sendToServer(const PendingPtr &pending);
    void onResponse(const PendingPtr &pending, HttpResult response);
    CallResult makeResult(const PendingPtr &pending, HttpResult response, const ScopeSummary &summary);
    void recordQuality(const CallRequest &call, const CallResult &result, const ServiceSample &sample,
                       const ScopeSummary &summary);
    ErrorKind errorKindOf(TransportError error, const CallRequest &call) const;
    void refuse(const PendingPtr &pending, ErrorKind kind);
    void recordOutcome(const CallMessage &message, const CallResult &result);
    void finish(const PendingPtr &pending, CallResult result);
    void addQuality(CallResult &result) const;
    PendingPtr removeQueued(AttemptId attempt);
    void logLevelChange(Level level);
    /** Applies what the server said of itself in a response; @p saysIfNone: naming no limit means that there is none.
     */
    void recordNotice(const ServerNotice &notice, TimePoint sentAt, bool saysIfNone);
    void logLimitChange(const std::optional<RequestRate> &before, const std::optional<RequestRate> &after) const;

    const DaemonIdentity &self_;
    SharedTables &tables_;
    HttpClient &client_;
    ServerHealth &health_;
    const ServingGate &gate_;
    const BackendProtocol &protocol_;
    const Clock &clock_;
    std::function<void()> leaving_;
    mutable std::mutex mutex_;
    std::unordered_map<AttemptId, PendingPtr> queued_;
    std::unordered_map<AttemptId, PendingPtr> running_;
    std::atomic<int> serverProcess_{0}; ///< Number of the server's process, as far as this daemon knows.
    std::atomic<bool> shedding_{false}; ///< The admission level is above 0.
};

} // namespace Hibiscus

#endif
