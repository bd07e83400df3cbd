#include "admission/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

// If all service times are equal, the last ticket of a full queue waits for eight of them.
constexpr std::size_t kQueuedPerSlot = 8;
constexpr double kHoldTimeWeight = 0.1;

AdmissionSettings validated(AdmissionSettings settings)
{
    settings.slots = std::max(settings.slots, 1);
    settings.classCount = std::max(settings.classCount, 1);
    return settings;
}

Decision refused(ErrorKind error)
{
    return {Decision::Kind::Refused, error};
}

void appendRefused(Dispatch &dispatch, const std::vector<Ticket> &tickets, ErrorKind error)
{
    for (const Ticket &ticket : tickets) {
        dispatch.refused.push_back({ticket, error});
    }
}

} // namespace

AdmissionController::AdmissionController(const AdmissionSettings &settings, const Clock &clock)
    : clock_(clock)
    , settings_(validated(settings))
    , limit_(settings_.slots, clock.now())
    , reserve_(settings_.classCount, clock.now())
    , queue_(settings_.classCount)
    , level_(settings_.classCount)
    , windowStart_(clock.now())
{
    configure(settings);
}

Decision AdmissionController::arrive(Ticket ticket)
{
    const TimePoint now = clock_.now();
    ticket.arrival = now;
    ticket.classRank = std::clamp(ticket.classRank, 0, settings_.classCount - 1);
    ticket.bucket = std::clamp(ticket.bucket, 0, kBucketsPerClass - 1);
    if (running_.contains(ticket.id) || queue_.contains(ticket.id)) {
        return refused(ErrorKind::InProgress);
    }
    if (draining_) {
        return refused(ErrorKind::Draining);
    }
    if (!healthy_) {
        return refused(ErrorKind::Unreachable);
    }
    if (missesDeadline(ticket, now)) {
        return refused(ErrorKind::DeadlineBeforeRun);
    }
    level_.recordArrival(ticket.level());
    if (!ticket.isExemptFromLevel && !level_.admits(ticket.level())) {
        return refuse(ErrorKind::Overloaded, now);
    }
    const bool isFirstInQueue = queue_.highestClass().value_or(-1) < ticket.classRank;
    if (isFirstInQueue && canStart(ticket.classRank, now)) {
        start(ticket, now);
        return {Decision::Kind::RunNow};
    }
    if (!queue_.push(ticket)) {
        window_.classes[static_cast<std::size_t>(ticket.classRank)].dropped = true;
        refuseBelow_ = std::max(refuseBelow_, ticket.classRank);
        return refuse(ErrorKind::Overloaded, now);
    }
    return {Decision::Kind::Queued};
}

Dispatch AdmissionController::finished(TicketId id, const ServiceSample &sample)
{
    const TimePoint now = clock_.now();
    if (const auto found = running_.find(id); found != running_.end()) {
        const Running running = found->second;
        running_.erase(found);
        reserve_.finished(running.classRank, running.start, now, sample.ownTime());
        recordEnd(running, sample, now);
    }
    Dispatch dispatch;
    closeWindow(now);
    startQueued(dispatch, now);
    return dispatch;
}

void AdmissionController::recordEnd(const Running &ticket, const ServiceSample &sample, TimePoint now)
{
    limit_.record(sample, running());
    pace_.record(sample, ticket.expectedOwnTime, now);
    recordHoldTime(sample.total);
    window_.completed += sample.serverShed ? 0 : 1;
    if (sample.failed || sample.serverShed || sample.isServersFault) {
        firstRequests_.failed(now);
    } else {
        firstRequests_.completed(sample.total, now);
    }
}

Dispatch AdmissionController::tick()
{
    const TimePoint now = clock_.now();
    Dispatch dispatch;
    refuseExpired(dispatch, now);
    refuseTimedOut(dispatch, now);
    for (std::size_t i = 0; i < dispatch.refused.size(); ++i) {
        firstRequests_.refused(now);
    }
    closeWindow(now);
    startQueued(dispatch, now);
    return dispatch;
}

bool AdmissionController::cancel(TicketId id)
{
    return queue_.cancel(id);
}

void AdmissionController::drain()
{
    draining_ = true;
}

Dispatch AdmissionController::setServerHealthy(bool healthy)
{
    const TimePoint now = clock_.now();
    const bool hasRecovered = healthy && !healthy_;
    healthy_ = healthy;
    Dispatch dispatch;
    if (hasRecovered) {
        beginPace(Millis{0});
    }
    if (!healthy) {
        pace_.interrupt(now);
        appendRefused(dispatch, queue_.removeAll(), ErrorKind::Unreachable);
    }
    return dispatch;
}

void AdmissionController::serverStarted(Millis coldStart)
{
    limit_.beginColdStart(clock_.now(), coldStart);
    beginPace(coldStart);
}

void AdmissionController::configure(const AdmissionSettings &settings)
{
    settings_ = validated(settings);
    limit_.setSlots(settings_.slots);
    reserve_.setClassCount(settings_.classCount);
    queue_.setClassCount(settings_.classCount);
    queue_.setMaxLength(kQueuedPerSlot * static_cast<std::size_t>(settings_.slots));
    level_.setClassCount(settings_.classCount);
    window_.classes.resize(std::max(window_.classes.size(), static_cast<std::size_t>(settings_.classCount)));
}

Level AdmissionController::level() const
{
    return level_.value();
}

int AdmissionController::headroom() const
{
    if (draining_ || !healthy_) {
        return 0;
    }
    const int freeSlots = std::max(0, usableSlots() - running());
    return std::min(freeSlots, static_cast<int>(limit() * rateLimit_.freeShare(clock_.now())));
}

int AdmissionController::limit() const
{
    if (!rateLimit_.value()) {
        return usableSlots();
    }
    const double paced = std::ceil(std::min<double>(rateLimit_.concurrency(holdTime_), usableSlots()));
    return std::max(1, static_cast<int>(paced));
}

RateLimit &AdmissionController::rateLimit()
{
    return rateLimit_;
}

const RateLimit &AdmissionController::rateLimit() const
{
    return rateLimit_;
}

Millis AdmissionController::retryAfter() const
{
    return rateLimit_.timeUntilStart(queue_.size(), clock_.now());
}

StartupPace &AdmissionController::pace()
{
    return pace_;
}

FirstRequests &AdmissionController::firstRequests()
{
    return firstRequests_;
}

int AdmissionController::running() const
{
    return reserve_.totalInFlight();
}

std::size_t AdmissionController::queued() const
{
    return queue_.size();
}

bool AdmissionController::draining() const
{
    return draining_;
}

int AdmissionController::classCount() const
{
    return static_cast<int>(window_.classes.size());
}

void AdmissionController::beginPace(Millis coldStart)
{
    limitedShare_.reset();
    if (pace_.begin(clock_.now(), coldStart)) {
        firstRequests_.begin();
    }
}

int AdmissionController::usableSlots() const
{
    return std::min(limit_.value(), pace_.usable(settings_.slots));
}

Decision AdmissionController::refuse(ErrorKind error, TimePoint now)
{
    firstRequests_.refused(now);
    return refused(error);
}

/** A server that lifts its limit on the rate has slots to spare, but not necessarily all of them. */
void AdmissionController::followRateLimit(TimePoint now)
{
    if (rateLimit_.value()) {
        limitedShare_ = static_cast<double>(limit()) / settings_.slots;
    } else if (limitedShare_) {
        pace_.resume(now, *limitedShare_);
        limitedShare_.reset();
    }
}

bool AdmissionController::canStart(int classRank, TimePoint now) const
{
    return rateLimit_.canStart(now) && reserve_.canStart(classRank, usableSlots(), now);
}

void AdmissionController::recordHoldTime(Millis total)
{
    holdTime_ = holdTime_ == Millis{0} ? total : holdTime_ + (total - holdTime_) * kHoldTimeWeight;
}

void AdmissionController::start(const Ticket &ticket, TimePoint now)
{
    running_.emplace(ticket.id, Running{ticket.classRank, now, ticket.expectedOwnTime});
    reserve_.started(ticket.classRank, now);
    rateLimit_.recordStart(now);
    peakInFlight_ = std::max(peakInFlight_, running());
    recordWait(ticket, now);
}

void AdmissionController::recordWait(const Ticket &ticket, TimePoint now)
{
    ClassLoad &load = window_.classes[static_cast<std::size_t>(ticket.classRank)];
    load.waitSum += (now - ticket.arrival).value;
    ++load.waits;
}

void AdmissionController::refuseExpired(Dispatch &dispatch, TimePoint now)
{
    const std::vector<Ticket> expired = queue_.removeExpired(now);
    for (const Ticket &ticket : expired) {
        recordWait(ticket, now);
    }
    appendRefused(dispatch, expired, ErrorKind::DeadlineBeforeRun);
}

void AdmissionController::refuseTimedOut(Dispatch &dispatch, TimePoint now)
{
    const std::vector<Ticket> timedOut = queue_.removeTimedOut(now, settings_.classCount - 1);
    for (const Ticket &ticket : timedOut) {
        recordWait(ticket, now);
        window_.classes[static_cast<std::size_t>(ticket.classRank)].dropped = true;
        refuseBelow_ = std::max(refuseBelow_, ticket.classRank);
    }
    appendRefused(dispatch, timedOut, ErrorKind::Overloaded);
}

void AdmissionController::closeWindow(TimePoint now)
{
    if (now - windowStart_ < kAdmissionWindow) {
        return;
    }
    reserve_.closeWindow(now);
    followRateLimit(now);
    pace_.closeWindow(now, peakInFlight_, settings_.slots);
    limit_.closeWindow(now, peakInFlight_);
    for (int i = 0; i < classCount(); ++i) {
        window_.classes[static_cast<std::size_t>(i)].meanInFlight = reserve_.meanInFlight(i);
    }
    window_.length = now - windowStart_;
    window_.queued = queue_.size();
    window_.limit = limit();
    level_.closeWindow(window_);

    std::fill(window_.classes.begin(), window_.classes.end(), ClassLoad{});
    window_.completed = 0;
    windowStart_ = now;
    peakInFlight_ = running();
    if (level().value > 0) {
        // Rank of the highest class that has refused buckets.
        refuseBelow_ = std::max(refuseBelow_, (level().value - 1) / kBucketsPerClass);
    }
}

void AdmissionController::startQueued(Dispatch &dispatch, TimePoint now)
{
    for (const Ticket &ticket : queue_.removeBelow(refuseBelow_)) {
        dispatch.refused.push_back(
            {ticket, missesDeadline(ticket, now) ? ErrorKind::DeadlineBeforeRun : ErrorKind::Overloaded});
    }
    refuseBelow_ = 0;
    for (auto highest = queue_.highestClass(); highest; highest = queue_.highestClass()) {
        if (!canStart(*highest, now)) {
            return;
        }
        const Ticket ticket = queue_.pop(*highest);
        if (missesDeadline(ticket, now)) {
            recordWait(ticket, now);
            dispatch.refused.push_back({ticket, ErrorKind::DeadlineBeforeRun});
            continue;
        }
        start(ticket, now);
        dispatch.started.push_back(ticket);
    }
}

} // namespace Hibiscus
