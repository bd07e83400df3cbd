#ifndef HIBISCUS_DAEMON_SERVERHEALTH_H
#define HIBISCUS_DAEMON_SERVERHEALTH_H

#include "core/clock.h"
#include "daemon/sharedtables.h"
#include "http/httpclient.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/**
 * Watches the local backend server and recognizes its crashes.
 *
 * A lost connection alone is not taken for a crash: the requests in flight count as crash suspects only if the server
 * then refuses connections or reports another start. Load figures of the health endpoint are not used, since they lag
 * or mislead.
 */
class ServerHealth
{
public:
    /** Called with true when the server is up again, and with false when it is found down. */
    using HealthChanged = std::function<void(bool healthy)>;
    /** Called with the signatures that were in flight when the server crashed. */
    using Crashed = std::function<void(std::vector<Signature>)>;

    /** Called with the response to each health check. */
    using Responded = std::function<void(const HttpResponse &response)>;

    ServerHealth(const DaemonIdentity &self, std::string healthPath, HttpClient &client, const Clock &clock);

    void setCallbacks(HealthChanged healthChanged, Crashed crashed, Responded responded);

    /** An attempt is about to be sent to the server. */
    void attemptStarted(AttemptId attempt, Signature signature);
    /** An attempt was abandoned before it was sent. */
    void attemptNotSent(AttemptId attempt);
    /** An attempt has ended; @p error is empty for a complete response. */
    void attemptEnded(AttemptId attempt, std::optional<TransportError> error);

    /** The server has checked in; @p restarted: it was restarted since its last check-in. */
    void serverCheckedIn(bool restarted);

    /** Sets the path of the health endpoint, which may change with the configuration. */
    void setHealthPath(std::string path);

    /** Probes a server that is down or whose start is not known yet. To be called every 200 ms. */
    void tick();

    bool healthy() const;
    /** Time for which the server has refused connections; 0 if it is up. */
    Millis downFor() const;
    std::size_t runningCount() const;

private:
    struct LostConnection {
        Signature signature;
        TimePoint lostAt;
    };

    void probe();
    void onProbeResult(const HttpResult &result);
    void reportDown();
    void reportUp(bool restarted);
    /** Returns the signatures in flight and those of the lost connections, and clears the list of lost connections. The
     * caller holds the mutex. */
    std::vector<Signature> extractInFlight();

    const DaemonIdentity &self_;
    std::string healthPath_;
    HttpClient &client_;
    const Clock &clock_;
    HealthChanged healthChanged_;
    Crashed crashed_;
    Responded responded_;

    mutable std::mutex mutex_;
    std::unordered_map<AttemptId, Signature> running_;
    std::deque<LostConnection> lostConnections_;
    std::string lastStart_; ///< Last known start; kSelfReported after a check-in, empty if none is known.
    bool healthy_ = true;
    TimePoint downSince_; ///< Only meaningful while not healthy_.
    bool probing_ = false;
};

} // namespace Hibiscus

#endif
