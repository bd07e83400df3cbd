#include "admission/concurrencylimit.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr Millis kColdStart{10000};
// Own service time above this multiple of its long-term minimum is taken as a sign of overload.
constexpr double kSlowFactor = 2;
// Shorter own service times are mostly loopback and scheduling noise, in ms.
constexpr double kShortestOwnTime = 1;
// The long-term minimum covers this period and the one before, so that a lasting change becomes the new normal.
constexpr Millis kBaselinePeriod{60000};
// A window of this many samples moves the smoothed own service time halfway.
constexpr double kSmoothingSamples = 64;
// The mean of fewer exponentially distributed samples has a standard error above 12.5%.
constexpr int kLeastSamples = 64;
// Only a limit that was nearly reached can have caused overload.
constexpr double kUsedShare = 0.75;
constexpr double kTrialFactor = 0.7;
// Halfway between the effect on an overloaded server (0.7) and none (1.0).
constexpr double kImprovedFactor = 0.85;
constexpr Millis kLeastSettling{100};
constexpr Millis kLongestTrial{3000};
// Shedding by a server with free slots must not stop all work.
constexpr double kLowestShare = 0.125;
// From 0 to all slots within 2 s of windows of 100 ms.
constexpr double kRaiseShare = 0.05;
constexpr double kCarefulRaiseShare = 0.005;
constexpr double kTroubleMargin = 0.95;
constexpr Millis kTroubleMemory{10000};

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : slots_(std::max(slots, 1))
    , limit_(slots_)
{
}

int ConcurrencyLimit::value() const
{
    return std::clamp(static_cast<int>(limit_), 1, slots_);
}

void ConcurrencyLimit::setSlots(int slots)
{
    const bool unrestricted = limit_ >= slots_;
    slots_ = std::max(slots, 1);
    limit_ = unrestricted ? slots_ : std::min<double>(limit_, slots_);
}

void ConcurrencyLimit::startCold(TimePoint now)
{
    coldSince_ = now;
    limit_ = ceiling(now);
    trial_.reset();
    resetBaseline(std::nullopt);
}

void ConcurrencyLimit::record(const ServiceSample &sample, TimePoint start, int othersInFlight)
{
    if (sample.serverShed) {
        backOffAfterShed(othersInFlight);
        return;
    }
    if (sample.failed) {
        return;
    }
    const double ownTime = std::max(sample.ownTime().value, kShortestOwnTime);
    windowSum_ += ownTime;
    ++windowCount_;
    if (trial_ && start >= trial_->settled) {
        trial_->sum += ownTime;
        ++trial_->count;
    }
}

void ConcurrencyLimit::closeWindow(TimePoint now, int peakInFlight)
{
    smoothOwnTime();
    if (coldSince_ && now - *coldSince_ >= kColdStart) {
        coldSince_.reset();
        resetBaseline(std::nullopt);
    }
    if (limitBeforeShed_) {
        noteTrouble(limit_, now);
        limitBeforeShed_.reset();
        trial_.reset();
    } else if (trial_) {
        judgeTrial(now);
    } else {
        learnBaseline(now);
        if (!isSlow()) {
            raise(now);
        } else if (peakInFlight >= kUsedShare * value()) {
            startTrial(now);
        }
    }
    limit_ = std::clamp(limit_, lowest(), ceiling(now));
}

double ConcurrencyLimit::lowest() const
{
    return std::max(1.0, slots_ * kLowestShare);
}

double ConcurrencyLimit::ceiling(TimePoint now) const
{
    if (!coldSince_) {
        return slots_;
    }
    const double warm = std::clamp((now - *coldSince_).value / kColdStart.value, 0.0, 1.0);
    return std::max(1.0, slots_ * (0.5 + 0.5 * warm));
}

void ConcurrencyLimit::noteTrouble(double limit, TimePoint now)
{
    troubleLimit_ = limit;
    troubleAt_ = now;
}

/** The server holds at most the other requests, hence they are its real limit. At most 30% off in one window. */
void ConcurrencyLimit::backOffAfterShed(int othersInFlight)
{
    if (!limitBeforeShed_) {
        limitBeforeShed_ = limit_;
    }
    const double least = std::max(lowest(), *limitBeforeShed_ * kTrialFactor);
    limit_ = std::min(limit_, std::max<double>(othersInFlight, least));
}

void ConcurrencyLimit::smoothOwnTime()
{
    if (windowCount_ == 0) {
        return;
    }
    const double mean = windowSum_ / windowCount_;
    const double weight = ownTimeSamples_ == 0 ? 1 : windowCount_ / (windowCount_ + kSmoothingSamples);
    ownTime_ += weight * (mean - ownTime_);
    ownTimeSamples_ = std::min(ownTimeSamples_ + windowCount_, kLeastSamples);
    windowSum_ = 0;
    windowCount_ = 0;
}

void ConcurrencyLimit::learnBaseline(TimePoint now)
{
    if (coldSince_ || ownTimeSamples_ < kLeastSamples) {
        return;
    }
    if (now - periodStart_ >= kBaselinePeriod) {
        previousMinimum_ = minimum_;
        minimum_.reset();
        periodStart_ = now;
    }
    minimum_ = std::min(minimum_.value_or(ownTime_), ownTime_);
}

void ConcurrencyLimit::resetBaseline(std::optional<double> ownTime)
{
    minimum_ = ownTime;
    previousMinimum_.reset();
    ownTime_ = ownTime.value_or(0);
    ownTimeSamples_ = ownTime ? kLeastSamples : 0;
}

bool ConcurrencyLimit::isSlow() const
{
    if (coldSince_ || !minimum_ || ownTimeSamples_ < kLeastSamples) {
        return false;
    }
    return ownTime_ > kSlowFactor * std::min(*minimum_, previousMinimum_.value_or(*minimum_));
}

void ConcurrencyLimit::startTrial(TimePoint now)
{
    const Millis settling{std::max(kLeastSettling.value, ownTime_)};
    trial_ = Trial{.limitBefore = limit_,
                   .ownTimeBefore = ownTime_,
                   .settled = now + settling,
                   .end = now + settling + kLongestTrial};
    limit_ *= kTrialFactor;
}

void ConcurrencyLimit::judgeTrial(TimePoint now)
{
    if (trial_->count < kLeastSamples) {
        if (now >= trial_->end) {
            limit_ = trial_->limitBefore;
            trial_.reset();
        }
        return;
    }
    const double ownTime = trial_->sum / trial_->count;
    if (ownTime < kImprovedFactor * trial_->ownTimeBefore) {
        ownTime_ = ownTime;
        noteTrouble(trial_->limitBefore, now);
    } else {
        limit_ = trial_->limitBefore;
        resetBaseline(ownTime);
    }
    trial_.reset();
}

void ConcurrencyLimit::raise(TimePoint now)
{
    const bool careful = now - troubleAt_ < kTroubleMemory && limit_ >= kTroubleMargin * troubleLimit_;
    limit_ += careful ? std::max(0.1, slots_ * kCarefulRaiseShare) : std::max(1.0, slots_ * kRaiseShare);
}

} // namespace Hibiscus
