#include "routing/balancer.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr Millis kHeadroomLifetime{2000};
// Factor on the score of a server in another failure domain: a hop there costs 1 to 1.5 ms each way.
constexpr double kFarPenalty = 3;
constexpr Millis kSlowStart{10000};
// Share of the load that a server gets at its start.
constexpr double kFirstWeight = 0.1;
// A server without headroom still compares with others of the same kind.
constexpr double kLeastHeadroom = 0.5;
constexpr int kFailuresToEject = 2;
constexpr Millis kFirstBackoff{500};
constexpr Millis kLongestBackoff{8000};

} // namespace

Balancer::Balancer(BalancerSettings settings, const Clock &clock, RandomSource &random)
    : settings_(std::move(settings))
    , clock_(clock)
    , random_(random)
    , selector_(settings_.self, settings_.domain)
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
    subset_ = selector_.select(servers_.usable());
}

Result<ServerName> Balancer::pick(Level level, const std::vector<ServerName> &exclude)
{
    std::vector<Candidate> near;
    std::vector<Candidate> far;
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
            // Few picks would fall on it otherwise, and its back-off has ended.
            return server.name;
        }
        (server.domain == settings_.domain ? near : far).push_back({&server.name, &record});
    }
    const auto bestNear = chooseOfTwo(near);
    const auto bestFar = chooseOfTwo(far);
    if (!bestNear && !bestFar) {
        return tl::make_unexpected(shed ? ErrorKind::Overloaded : ErrorKind::NoServer);
    }
    const bool takeFar = !bestNear || (bestFar && isBetter(*bestFar, kFarPenalty, *bestNear));
    return *(takeFar ? bestFar : bestNear)->name;
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
        record->headroomAt = clock_.now();
    }
    if (feedback.responded) {
        record->answeredAt = clock_.now();
        record->connectFailures = 0;
        record->ejected = false;
        record->probing = false;
    } else if (record->probing) {
        // Neither an answer nor a connect failure, so the next probe follows after the same back-off.
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
        record->backoff = std::min(record->backoff * 2, kLongestBackoff);
    } else if (record->ejected || record->connectFailures < kFailuresToEject) {
        // Attempts from before the ejection tell nothing new.
        return;
    } else {
        record->ejected = true;
        record->backoff = kFirstBackoff;
    }
    record->probeAt = clock_.now() + record->backoff;
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
    return found == records_.end() ? Millis{0} : clock_.now() - found->second.answeredAt;
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

/** Forgets all but the attempts in flight, which are still to be reported. */
void Balancer::reset(const ServerName &name)
{
    Record record;
    record.inFlight = inFlight(name);
    record.since = clock_.now();
    record.answeredAt = record.since;
    records_.insert_or_assign(name, record);
    levels_.remove(name);
}

/** Ends an attempt; null if none is known, or if the server has left. */
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

bool Balancer::hasFreshHeadroom(const Record &record) const
{
    return record.headroom && clock_.now() - record.headroomAt < kHeadroomLifetime;
}

double Balancer::scoreOf(const Record &record, bool useHeadroom) const
{
    const double age = std::clamp((clock_.now() - record.since).value / kSlowStart.value, 0.0, 1.0);
    const double weight = std::max(kFirstWeight, age);
    const double headroom = useHeadroom ? std::max<double>(*record.headroom, kLeastHeadroom) : 1;
    return (record.inFlight + 1) / (headroom * weight);
}

/** Whether @p a, with the factor @p penalty on its score, is to be preferred to @p b. */
bool Balancer::isBetter(const Candidate &a, double penalty, const Candidate &b) const
{
    // A headroom compares only with another; there is no number to put in its place.
    const bool useHeadroom = hasFreshHeadroom(*a.record) && hasFreshHeadroom(*b.record);
    return scoreOf(*a.record, useHeadroom) * penalty < scoreOf(*b.record, useHeadroom);
}

std::optional<Balancer::Candidate> Balancer::chooseOfTwo(const std::vector<Candidate> &candidates)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (candidates.size() == 1) {
        return candidates.front();
    }
    const std::size_t first = random_.below(candidates.size());
    const std::size_t other = (first + 1 + random_.below(candidates.size() - 1)) % candidates.size();
    return isBetter(candidates[other], 1, candidates[first]) ? candidates[other] : candidates[first];
}

} // namespace Hibiscus
