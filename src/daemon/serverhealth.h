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
 * A lost connection alone condemns nothing: only if the server then refuses connections, or reports another start, do
 * the requests that were in flight count as crash suspects. Load figures of the health endpoint are not used, since
 * they lag or mislead.
 */
class ServerHealth
{
public:
    /** Called with true when the server answers again, with false when it is found down. */
    using HealthChanged = std::function<void(bool healthy)>;
    /** Called with the signatures that were in flight when the server crashed. */
    using Crashed = std::function<void(std::vector<Signature>)>;

    ServerHealth(const DaemonIdentity &self, std::string healthPath, HttpClient &client, const Clock &clock);

    void setCallbacks(HealthChanged healthChanged, Crashed crashed);

    /** An attempt is about to be sent to the server. */
    void attemptStarted(AttemptId attempt, Signature signature);
    /** An attempt was given up before it was sent. */
    void attemptNotSent(AttemptId attempt);
    /** An attempt has ended; @p error is empty for a complete response. */
    void attemptEnded(AttemptId attempt, std::optional<TransportError> error);

    /** The server reported itself; @p restarted: since its last report it was started anew. */
    void serverCheckedIn(bool restarted);

    /** Path of the health endpoint; changes with the configuration. */
    void setHealthPath(std::string path);

    /** Checks a server that is down, or whose start is not known yet. To be called every 200 ms. */
    void tick();

    bool healthy() const;
    std::size_t runningCount() const;

private:
    struct Lost {
        Signature signature;
        TimePoint at;
    };

    void probe();
    void onProbe(const HttpResult &result);
    void reportDown();
    void reportUp(bool restarted);
    std::vector<Signature> takeInFlight();

    const DaemonIdentity &self_;
    std::string healthPath_;
    HttpClient &client_;
    const Clock &clock_;
    HealthChanged healthChanged_;
    Crashed crashed_;

    mutable std::mutex mutex_;
    std::unordered_map<AttemptId, Signature> running_;
    std::deque<Lost> lost_;
    std::string startMark_; ///< Start that the health endpoint reported last.
    bool healthy_ = true;
    bool probing_ = false;
};

} // namespace Hibiscus

#endif
