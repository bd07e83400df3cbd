#ifndef HIBISCUS_DAEMON_SERVERGATEWAY_H
#define HIBISCUS_DAEMON_SERVERGATEWAY_H

#include "core/clock.h"
#include "daemon/backendprotocol.h"
#include "daemon/callmessage.h"
#include "daemon/noticereceiver.h"
#include "daemon/serverhealth.h"
#include "daemon/servinggate.h"
#include "daemon/sharedtables.h"
#include "http/httpclient.h"

#include <atomic>
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

    /** What the backend server says of itself. */
    NoticeReceiver &notices();

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
        NoticeReceiver::ServerProcess serverProcess = 0; ///< To which the attempt was sent.
        bool isSuspect = false;
        bool cancelled = false;
        std::optional<ResponseFault> brokenResponse{}; ///< Why the server's bytes are no response.
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
    PendingPtr removeQueued(AttemptId attempt);
    void logLevelChange(Level level);
    void logFailedAttempt(const Pending &pending, ErrorKind kind, Millis atServer) const;
    void receiveNotice(const PendingPtr &pending, const ServerNotice &notice, const CallResult &result);

    const DaemonIdentity &self_;
    SharedTables &tables_;
    HttpClient &client_;
    ServerHealth &health_;
    const ServingGate &gate_;
    const BackendProtocol &protocol_;
    const Clock &clock_;
    NoticeReceiver notices_;
    mutable std::mutex mutex_;
    std::unordered_map<AttemptId, PendingPtr> queued_;
    std::unordered_map<AttemptId, PendingPtr> running_;
    std::atomic<bool> shedding_{false}; ///< The admission level is above 0.
};

} // namespace Hibiscus

#endif
