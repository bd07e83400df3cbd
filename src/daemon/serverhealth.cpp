#include "daemon/serverhealth.h"

#include "core/jsondocument.h"
#include "core/logevent.h"

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

constexpr Millis kProbeTimeout{1000};
/** A crash breaks all connections within this time of each other. */
constexpr Millis kLossWindow{1000};
/** Value of lastStart_ for a server that reports its starts by check-ins. */
constexpr const char *kSelfReported = "reported";

/** Field "start" of a health response as JSON text; empty if there is none. */
std::string startOf(const HttpResponse &response)
{
    const std::optional<nlohmann::json> health = readJson(response.body);
    if (!health || !health->is_object() || !health->contains("start")) {
        return {};
    }
    return writeJson(health->at("start"));
}

} // namespace

ServerHealth::ServerHealth(const DaemonIdentity &self, std::string healthPath, HttpClient &client, const Clock &clock)
    : self_(self)
    , healthPath_(std::move(healthPath))
    , client_(client)
    , clock_(clock)
{
}

void ServerHealth::setCallbacks(HealthChanged healthChanged, Crashed crashed, Responded responded)
{
    healthChanged_ = std::move(healthChanged);
    crashed_ = std::move(crashed);
    responded_ = std::move(responded);
}

void ServerHealth::attemptStarted(AttemptId attempt, Signature signature)
{
    const std::lock_guard lock(mutex_);
    running_[attempt] = signature;
}

void ServerHealth::attemptNotSent(AttemptId attempt)
{
    const std::lock_guard lock(mutex_);
    running_.erase(attempt);
}

void ServerHealth::attemptEnded(AttemptId attempt, std::optional<TransportError> error)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = running_.find(attempt);
        if (found == running_.end()) {
            return;
        }
        const bool lost = error == TransportError::Lost || error == TransportError::MalformedResponse;
        if (lost) {
            lostConnections_.push_back({found->second, clock_.now()});
        }
        running_.erase(found);
        if (!lost && error != TransportError::ConnectFailed) {
            return;
        }
    }
    probe();
}

void ServerHealth::serverCheckedIn(bool restarted)
{
    {
        const std::lock_guard lock(mutex_);
        lastStart_ = kSelfReported;
    }
    reportUp(restarted);
}

void ServerHealth::setHealthPath(std::string path)
{
    const std::lock_guard lock(mutex_);
    healthPath_ = std::move(path);
}

void ServerHealth::tick()
{
    bool needsProbe = false;
    {
        const std::lock_guard lock(mutex_);
        needsProbe = !healthy_ || lastStart_.empty();
        while (!lostConnections_.empty() && clock_.now() - lostConnections_.front().lostAt > kLossWindow) {
            lostConnections_.pop_front();
        }
    }
    if (needsProbe) {
        probe();
    }
}

void ServerHealth::probe()
{
    std::string path;
    {
        const std::lock_guard lock(mutex_);
        if (probing_) {
            return;
        }
        probing_ = true;
        path = healthPath_;
    }
    HttpCallOptions options;
    options.connectTimeout = kProbeTimeout;
    options.responseTimeout = kProbeTimeout;
    options.freshConnection = true;
    client_.send(self_.backend, {"GET", std::move(path), {}, ""}, options,
                 [this](const HttpResult &result) { onProbeResult(result); });
}

void ServerHealth::onProbeResult(const HttpResult &result)
{
    if (!result && result.error() == TransportError::ConnectFailed) {
        reportDown();
        return;
    }
    bool restarted = false;
    {
        const std::lock_guard lock(mutex_);
        probing_ = false;
        if (!result) {
            // The server accepts connections, so it is not down. Health responses lag or mislead, so a missing one is
            // ignored.
            return;
        }
        const std::string start = startOf(*result);
        const bool reportsItself = lastStart_ == kSelfReported;
        restarted = !reportsItself && !lastStart_.empty() && start != lastStart_;
        if (!reportsItself) {
            lastStart_ = start.empty() ? "unknown" : start;
        }
    }
    responded_(*result);
    reportUp(restarted);
}

std::vector<Signature> ServerHealth::extractInFlight()
{
    std::vector<Signature> signatures;
    for (const auto &[attempt, signature] : running_) {
        signatures.push_back(signature);
    }
    for (const LostConnection &lost : lostConnections_) {
        signatures.push_back(lost.signature);
    }
    lostConnections_.clear();
    return signatures;
}

void ServerHealth::reportDown()
{
    std::vector<Signature> inFlight;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        probing_ = false;
        changed = healthy_;
        healthy_ = false;
        if (changed) {
            downSince_ = clock_.now();
            inFlight = extractInFlight();
        }
    }
    if (!changed) {
        return;
    }
    logEvent(LogEvent::ServerUnhealthy, self_.server.value() + " refuses connections at " + self_.backend.value());
    if (!inFlight.empty()) {
        crashed_(std::move(inFlight));
    }
    healthChanged_(false);
}

void ServerHealth::reportUp(bool restarted)
{
    std::vector<Signature> inFlight;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        changed = !healthy_;
        healthy_ = true;
        if (restarted && !changed) {
            inFlight = extractInFlight();
        }
    }
    if (!inFlight.empty()) {
        crashed_(std::move(inFlight));
    }
    if (changed || restarted) {
        logEvent(LogEvent::ServerHealthy, self_.server.value() + " is up at " + self_.backend.value());
        healthChanged_(true);
    }
}

bool ServerHealth::healthy() const
{
    const std::lock_guard lock(mutex_);
    return healthy_;
}

Millis ServerHealth::downFor() const
{
    const std::lock_guard lock(mutex_);
    return healthy_ ? Millis{0} : clock_.now() - downSince_;
}

std::size_t ServerHealth::runningCount() const
{
    const std::lock_guard lock(mutex_);
    return running_.size();
}

} // namespace Hibiscus
