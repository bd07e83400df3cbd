#ifndef HIBISCUS_DAEMON_SERVERGATEWAY_H
#define HIBISCUS_DAEMON_SERVERGATEWAY_H

#include "core/clock.h"
#include "daemon/callmessage.h"
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
                  const ServingGate &gate, const Clock &clock);

    /** Runs one attempt. @p callback is called once, possibly before execute() returns. */
    void execute(CallMessage message, CallCallback callback);

    /** Starts and refuses queued attempts as time goes by. To be called every 10 ms. */
    void tick();

    /** Attempts that are queued or running. */
    std::size_t inFlight() const;

    /** The backend server answers, or does not answer, its health check. */
    void setServerHealthy(bool healthy);

private:
    /** An attempt from its arrival until its end. */
    struct Pending {
        CallMessage message;
        CallCallback callback;
        TimePoint started;
        bool isSuspect = false;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    bool enter(const PendingPtr &pending);
    void handleDispatch(const Dispatch &dispatch);
    void dispatch(const PendingPtr &pending);
    HttpRequest backendRequest(const CallMessage &message) const;
    void onResult(const PendingPtr &pending, HttpResult result);
    CallAnswer conclude(const PendingPtr &pending, HttpResult result, const ScopeSummary &summary);
    ErrorKind failureOf(TransportError error, const CallRequest &call) const;
    void reject(const PendingPtr &pending, ErrorKind kind);
    void settle(const CallMessage &message, const CallAnswer &answer);
    void finish(const PendingPtr &pending, CallAnswer answer);
    PendingPtr takePending(AttemptId attempt);
    void noteLevel(Level level);

    const DaemonIdentity &self_;
    SharedTables &tables_;
    HttpClient &client_;
    ServerHealth &health_;
    const ServingGate &gate_;
    const Clock &clock_;
    mutable std::mutex mutex_;
    std::unordered_map<AttemptId, PendingPtr> pending_;
    std::atomic<bool> shedding_{false}; ///< The admission level is above 0.
};

} // namespace Hibiscus

#endif
