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

    /** Runs one attempt. @p callback is called once, possibly before execute() returns. */
    void execute(CallMessage message, CallCallback callback);

    /** Ends an attempt whose caller has left: one that is queued never runs, and one that runs is aborted if it is
     * repeatable. */
    void cancel(AttemptId attempt);

    /** Refuses the queued attempts that the gate no longer lets pass. */
    void recheckQueue();

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
        bool cancelled = false;
        std::shared_ptr<HttpCall> connection{}; ///< To the backend server, while the attempt runs there.
    };
    using PendingPtr = std::shared_ptr<Pending>;

    bool enter(const PendingPtr &pending);
    void handleDispatch(const Dispatch &dispatch);
    void dispatch(const PendingPtr &pending);
    void onResult(const PendingPtr &pending, HttpResult result);
    CallResult conclude(const PendingPtr &pending, HttpResult result, const ScopeSummary &summary);
    ErrorKind failureOf(TransportError error, const CallRequest &call) const;
    void reject(const PendingPtr &pending, ErrorKind kind);
    void settle(const CallMessage &message, const CallResult &answer);
    void finish(const PendingPtr &pending, CallResult answer);
    PendingPtr takePending(AttemptId attempt);
    void noteLevel(Level level);

    const DaemonIdentity &self_;
    SharedTables &tables_;
    HttpClient &client_;
    ServerHealth &health_;
    const ServingGate &gate_;
    const BackendProtocol &protocol_;
    const Clock &clock_;
    mutable std::mutex mutex_;
    std::unordered_map<AttemptId, PendingPtr> pending_; ///< Queued.
    std::unordered_map<AttemptId, PendingPtr> running_;
    std::atomic<bool> shedding_{false}; ///< The admission level is above 0.
};

} // namespace Hibiscus

#endif
