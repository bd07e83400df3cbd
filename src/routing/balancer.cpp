#include "routing/balancer.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr Millis kHeadroomLifetime{2000};
// Factor on the score of a server in another failure domain, while the load of the own servers isn't known.
constexpr double kOtherDomainPenalty = 3;
// Above 0, so that the scores of servers without headroom can still be compared with each other.
constexpr double kMinimumHeadroom = 0.5;
/** Bound of the advantage that a server gets from requests that happened to be short. */
constexpr double kMinimumSlowdown = 1;
/** Bound of the factor on the score of a server that is slow or fails. */
constexpr double kMinimumQuality = 1.0 / 32;
constexpr int kFailuresToEject = 2;
constexpr Millis kInitialBackoff{500};
constexpr Millis kMaximumBackoff{8000};
/** Well below the interval of heartbeats, after which a restarted daemon knows its server again. */
constexpr Millis kMissingBackoff{250};

/** Share of @p limit that is in use; if the limit isn't known, 1 without headroom and else 0. */
double busyShare(int headroom, const std::optional<int> &limit)
{
    const int known = limit.value_or(std::max(headroom, 1));
    return known <= 0 ? 1 : std::clamp(1 - static_cast<double>(headroom) / known, 0.0, 1.0);
}

} // namespace

Balancer::Balancer(BalancerSettings settings, const Clock &clock, RandomSource &random)
    : settings_(std::move(settings))
    , clock_(clock)
    , random_(random)
    , reachable_(SubsetSelector(settings_.self, settings_.domain))
    , levels_(clock)
{
}

void Balancer::update(const std::vector<ServerView> &servers)
{
    const ServerSetChange change = servers_.update(servers);
    for (const ServerName &name : change.started) {
        reset(name);
    }
    for (const ServerName &name : change.removed) {
        reset(name);
        if (inFlight(name) == 0) {
            records_.erase(name);
        }
    }
    selectSubset();
}

Result<ServerName> Balancer::pick(Level level, const std::vector<ServerName> &exclude)
{
    std::vector<Candidate> ownDomain;
    std::vector<Candidate> otherDomains;
    bool shed = false;
    for (const ServerView &server : subset_) {
        const Record &record = records_.at(server.name);
        if (std::find(exclude.begin(), exclude.end(), server.name) != exclude.end() || !mayBeTried(record)) {
            continue;
        }
        if (!levels_.admits(server.name, level)) {
            shed = true;
            continue;
        }
        if (record.ejected) {
            // The back-off has ended. Picks the server as a probe whatever its score, which would rarely select it.
            return server.name;
        }
        (server.domain == settings_.domain ? ownDomain : otherDomains).push_back(candidateFor(server, record));
    }
    const auto bestOwn = chooseOfTwo(ownDomain);
    const auto bestOther = chooseOfTwo(otherDomains);
    if (!bestOwn && !bestOther) {
        return tl::make_unexpected(shed ? ErrorKind::Overloaded : ErrorKind::NoServer);
    }
    const bool useOther = !bestOwn || (bestOther && leavesDomain(*bestOwn, *bestOther));
    return (useOther ? bestOther : bestOwn)->server->name;
}

void Balancer::started(const ServerName &name)
{
    const auto found = records_.find(name);
    if (found == records_.end()) {
        return;
    }
    Record &record = found->second;
    ++record.inFlight;
    record.probing = record.ejected;
}

void Balancer::finished(const ServerName &name, const AttemptFeedback &feedback)
{
    Record *record = release(name);
    if (!record) {
        return;
    }
    if (feedback.level) {
        levels_.report(name, *feedback.level);
    }
    if (feedback.headroom) {
        record->headroom = *feedback.headroom;
        record->busyShare = busyShare(*feedback.headroom, feedback.limit);
        record->slowdown = std::max(feedback.slowdown, kMinimumSlowdown);
        record->failingShare = feedback.failingShare;
        record->headroomAt = clock_.now();
    }
    if (feedback.rateLimit || feedback.serverResponded) {
        record->rateLimit = feedback.rateLimit;
    }
    if (feedback.responded) {
        const bool wasEjected = std::exchange(record->ejected, false);
        record->hasResponded = true;
        record->usable.report(feedback.limit, feedback.failingShare, clock_.now());
        record->respondedAt = clock_.now();
        record->connectFailures = 0;
        record->probing = false;
        if (wasEjected) {
            selectSubset();
        }
    } else if (record->probing) {
        // The probe ended without a response or a connect failure, so the next one follows after the same back-off.
        record->probing = false;
        record->probeAt = clock_.now() + record->backoff;
    }
}

void Balancer::connectFailed(const ServerName &name)
{
    Record *record = release(name);
    if (!record) {
        return;
    }
    ++record->connectFailures;
    if (record->probing) {
        record->probing = false;
        record->backoff = std::min(record->backoff * 2, kMaximumBackoff);
    } else if (record->ejected || record->connectFailures < kFailuresToEject) {
        // Either the threshold is not reached, or the attempt began before the ejection and adds no information.
        return;
    } else {
        record->ejected = true;
        record->backoff = kInitialBackoff;
    }
    record->probeAt = clock_.now() + record->backoff;
    selectSubset();
}

void Balancer::serverMissing(const ServerName &name)
{
    Record *record = release(name);
    if (!record) {
        return;
    }
    record->respondedAt = clock_.now();
    record->ejected = true;
    record->probing = false;
    record->backoff = kMissingBackoff;
    record->probeAt = clock_.now() + kMissingBackoff;
}

void Balancer::setIncarnation(const ServerName &name, Incarnation incarnation)
{
    servers_.setIncarnation(name, incarnation);
    for (ServerView &view : subset_) {
        if (view.name == name) {
            view.incarnation = incarnation;
        }
    }
}

const ServerView *Balancer::find(const ServerName &name) const
{
    return servers_.find(name);
}

Level Balancer::admittedLevel() const
{
    std::optional<Level> lowest;
    for (const ServerView &server : subset_) {
        if (mayBeTried(records_.at(server.name))) {
            const Level level = levels_.levelFor(server.name);
            lowest = std::min(lowest.value_or(level), level);
        }
    }
    return lowest.value_or(Level{});
}

const std::vector<ServerView> &Balancer::subset() const
{
    return subset_;
}

Millis Balancer::timeSinceResponse(const ServerName &name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? Millis{0} : clock_.now() - found->second.respondedAt;
}

std::optional<RequestRate> Balancer::rateLimit(const ServerName &name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? std::nullopt : found->second.rateLimit;
}

int Balancer::inFlight(const ServerName &name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? 0 : found->second.inFlight;
}

bool Balancer::isEjected(const ServerName &name) const
{
    const auto found = records_.find(name);
    return found != records_.end() && found->second.ejected;
}

/** Clears the state except the number of attempts in flight, whose ends will still be reported. */
void Balancer::reset(const ServerName &name)
{
    Record record;
    record.inFlight = inFlight(name);
    record.respondedAt = clock_.now();
    const ServerView *view = servers_.find(name);
    record.serverStartedAt = view ? view->startedAt : 0;
    const auto known = records_.find(name);
    if (known != records_.end() && known->second.serverStartedAt == record.serverStartedAt) {
        // Only the daemon was restarted, so the server takes as much as before.
        record.usable = known->second.usable;
        record.rateLimit = known->second.rateLimit;
    }
    records_.insert_or_assign(name, record);
    levels_.remove(name);
}

void Balancer::selectSubset()
{
    const std::vector<ServerView> usable = servers_.usable();
    ReachableSubset::Probes outOfReach;
    for (const ServerView &server : usable) {
        const Record &record = records_.at(server.name);
        if (isOutOfReach(record)) {
            outOfReach[server.name] = record.probeAt;
        }
    }
    subset_ = reachable_.select(usable, outOfReach, clock_.now());
}

/** Whether the server has failed a probe, or has never responded and is ejected. */
bool Balancer::isOutOfReach(const Record &record)
{
    return record.ejected && (!record.hasResponded || record.backoff > kInitialBackoff);
}

/** Counts an attempt as ended and returns the state of its server; null if the server is unknown or was removed. */
Balancer::Record *Balancer::release(const ServerName &name)
{
    const auto found = records_.find(name);
    if (found == records_.end()) {
        return nullptr;
    }
    found->second.inFlight = std::max(0, found->second.inFlight - 1);
    if (servers_.find(name)) {
        return &found->second;
    }
    if (found->second.inFlight == 0) {
        records_.erase(found);
    }
    return nullptr;
}

bool Balancer::mayBeTried(const Record &record) const
{
    return !record.ejected || (!record.probing && clock_.now() >= record.probeAt);
}

bool Balancer::hasCurrentHeadroom(const Record &record) const
{
    return record.headroom && clock_.now() - record.headroomAt < kHeadroomLifetime;
}

Balancer::Candidate Balancer::candidateFor(const ServerView &server, const Record &record) const
{
    if (record.rateLimit) {
        // Its limit says how many requests the rate keeps busy, and not how many may use the slots at once.
        return {&server, &record, 1, std::nullopt};
    }
    const double share = record.usable.value(server.slots, record.inFlight, clock_.now());
    return {&server, &record, share, record.usable.limit()};
}

/**
 * Load of a candidate. Its requests in flight and its headroom count in proportion to its limit, of which @p perLimit
 * is the one to compare with, so that servers with unlike limits are filled alike.
 */
double Balancer::score(const Candidate &candidate, bool useHeadroom, double perLimit) const
{
    const Record &record = *candidate.record;
    if (!useHeadroom) {
        return (record.inFlight + 1) / candidate.usableShare;
    }
    const double headroom = std::max<double>(*record.headroom, kMinimumHeadroom);
    const double quality = std::max((1 - record.failingShare) / record.slowdown, kMinimumQuality);
    const double scale = perLimit > 0 ? perLimit / std::max(candidate.limit.value_or(1), 1) : 1;
    return (record.inFlight * scale + 1) / (headroom * scale * quality);
}

ServerCondition Balancer::condition(const Candidate &candidate) const
{
    const Record &record = *candidate.record;
    if (!hasCurrentHeadroom(record)) {
        // A server that has yet to respond to its first request counts as full.
        return {.busyShare = record.usable.isKnown() || record.inFlight == 0 ? 0.0 : 1.0};
    }
    return {record.busyShare, record.slowdown, record.failingShare};
}

bool Balancer::leavesDomain(const Candidate &own, const Candidate &other)
{
    if (!hasCurrentHeadroom(*own.record)) {
        return isBetter(other, kOtherDomainPenalty, own);
    }
    return random_.fraction() < otherDomainShare(condition(own), condition(other));
}

/** Whether @p a has a lower score than @p b when its score is multiplied by @p penalty. */
bool Balancer::isBetter(const Candidate &a, double penalty, const Candidate &b) const
{
    // Headroom is used only if it is known for both servers, as there is no default value to compare it with.
    const bool useHeadroom = hasCurrentHeadroom(*a.record) && hasCurrentHeadroom(*b.record);
    const double perLimit = a.limit && b.limit ? std::max(*a.limit, *b.limit) : 0;
    return score(a, useHeadroom, perLimit) * penalty < score(b, useHeadroom, perLimit);
}

/** The better one of two, drawn in proportion to what they may use. */
std::optional<Balancer::Candidate> Balancer::chooseOfTwo(const std::vector<Candidate> &candidates)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (candidates.size() == 1) {
        return candidates.front();
    }
    const std::size_t first = drawByShare(candidates, std::nullopt);
    const std::size_t other = drawByShare(candidates, first);
    return isBetter(candidates[other], 1, candidates[first]) ? candidates[other] : candidates[first];
}

std::size_t Balancer::drawByShare(const std::vector<Candidate> &candidates, std::optional<std::size_t> except)
{
    double total = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        total += i == except ? 0 : candidates[i].usableShare;
    }
    double left = random_.fraction() * total;
    std::size_t drawn = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (i == except) {
            continue;
        }
        drawn = i;
        left -= candidates[i].usableShare;
        if (left < 0) {
            break;
        }
    }
    return drawn;
}

} // namespace Hibiscus
