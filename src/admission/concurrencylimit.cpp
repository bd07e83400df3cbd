#include "admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

// Own service time above this multiple of its long-term minimum is taken as a sign of overload.
constexpr double kSlowFactor = 2;
// Shorter own service times are mostly loopback and scheduling noise, in ms.
constexpr double kMinOwnTime = 1;
// The long-term minimum covers the current period of this length and the one before, so that it follows lasting
// changes.
constexpr Millis kBaselinePeriod{60000};
// A window of this many samples moves the smoothed own service time halfway, if it is long enough.
constexpr double kSmoothingSamples = 64;
// The requests that end first after a rise of the load are the short ones. Smoothing over several service times
// prevents the server from appearing fast because of them.
constexpr double kSmoothingOwnTimes = 5;
// The baseline is updated only when the smoothed own service time covers this many own service times, and at least
// kMinSettling and kMinSamples.
constexpr double kSettlingOwnTimes = 20;
constexpr Millis kMinSettling{1000};
constexpr int kMinSamples = 64;
// Share of the limit that must have been in use for a back-off. A limit that was not nearly reached can't have caused
// the overload.
constexpr double kMinUsedShare = 0.75;
constexpr double kTrialFactor = 0.7;
// Share of the throughput that must remain at the lower limit. An overloaded server keeps all of it (1.0), any other
// server 0.7. The threshold is three standard errors above 0.7, since a limit that is lowered in error costs
// throughput, while one that is restored in error is tried again.
constexpr double kMinThroughputRatio = 0.88;
// The standard error of a rate measured over this many requests is 5%.
constexpr int kTrialSamples = 400;
constexpr int kMinTrialSamples = 30;
constexpr Millis kMinTrialSettling{200};
constexpr double kTrialSettlingOwnTimes = 2;
// Consecutive failed trials that reset the baseline. A single trial can fail by chance, and a new baseline hides an
// overload until the end of the period.
constexpr int kFailedTrialsToReset = 2;
constexpr Millis kMaxMeasurement{3000};
constexpr double kShedBackOffFactor = 0.7;
// Lower bound of the limit as a share of the slots, so that a server that sheds despite free slots still gets work.
constexpr double kMinLimitShare = 0.25;
// Raise per window as a share of the slots: from 0 to all slots within 20 windows of 100 ms (2 s).
constexpr double kRaiseShare = 0.05;
// The first raise after a back-off is small and grows from window to window, to stay close to the real limit.
constexpr double kFirstRaiseShare = 0.005;
constexpr double kRaiseGrowth = 2;
constexpr double kMinRaise = 0.05;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, TimePoint now)
    : slots_(std::max(slots, 1))
    , limit_(slots_)
    , raiseShare_(kRaiseShare)
    , windowStart_(now)
    , ownTimeSince_(now)
    , periodStart_(now)
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

void ConcurrencyLimit::beginColdStart(TimePoint now, Millis length)
{
    coldUntil_ = now + length;
    limit_ = slots_;
    raiseShare_ = kRaiseShare;
    limitBeforeShed_.reset();
    trial_.reset();
    resetOwnTime(now);
}

void ConcurrencyLimit::record(const ServiceSample &sample, int othersInFlight)
{
    if (sample.serverShed) {
        backOffAfterShed(othersInFlight);
        return;
    }
    if (sample.failed) {
        return;
    }
    ownTimeSum_ += std::max(sample.ownTime().value, kMinOwnTime);
    ++ownTimeCount_;
}

void ConcurrencyLimit::closeWindow(TimePoint now, int peakInFlight)
{
    if (coldUntil_ && now >= *coldUntil_) {
        coldUntil_.reset();
        resetOwnTime(now);
    }
    if (trial_ && windowStart_ >= trial_->begin) {
        trial_->completed += ownTimeCount_;
        trial_->measured = trial_->measured + (now - windowStart_);
    }
    smoothOwnTime(now);
    if (limitBeforeShed_) {
        limitBeforeShed_.reset();
        trial_.reset();
        raiseShare_ = kFirstRaiseShare;
    } else if (trial_) {
        evaluateTrial(now);
    } else if (updateBaseline(now); !isSlow()) {
        raise();
    } else if (peakInFlight >= kMinUsedShare * value()) {
        trial_ = Trial{.limitBefore = limit_};
        startMeasurement(now);
    }
    limit_ = std::clamp<double>(limit_, minLimit(), slots_);
    windowStart_ = now;
}

double ConcurrencyLimit::minLimit() const
{
    return std::max(1.0, slots_ * kMinLimitShare);
}

/**
 * The server accepted only the other requests, so their number is its real limit. Lowers the limit by at most 30% per
 * window.
 */
void ConcurrencyLimit::backOffAfterShed(int othersInFlight)
{
    if (!limitBeforeShed_) {
        limitBeforeShed_ = limit_;
    }
    const double lowest = std::max(minLimit(), *limitBeforeShed_ * kShedBackOffFactor);
    limit_ = std::min(limit_, std::max<double>(othersInFlight, lowest));
}

void ConcurrencyLimit::smoothOwnTime(TimePoint now)
{
    const double length = std::max((now - windowStart_).value, 1.0);
    const double count = ownTimeCount_;
    if (ownTimeCount_ > 0) {
        const double byCount = count / (count + kSmoothingSamples);
        const double byLength = length / (length + kSmoothingOwnTimes * ownTime_);
        const double weight = ownTimeSamples_ == 0 ? 1 : std::min(byCount, byLength);
        ownTime_ += weight * (ownTimeSum_ / count - ownTime_);
    }
    ownTimeSamples_ = std::min(ownTimeSamples_ + ownTimeCount_, kMinSamples);
    ownTimeSum_ = 0;
    ownTimeCount_ = 0;
}

bool ConcurrencyLimit::isOwnTimeSettled(TimePoint now) const
{
    const Millis settling{std::max(kMinSettling.value, kSettlingOwnTimes * ownTime_)};
    return !coldUntil_ && ownTimeSamples_ >= kMinSamples && now - ownTimeSince_ >= settling;
}

void ConcurrencyLimit::updateBaseline(TimePoint now)
{
    if (!isOwnTimeSettled(now)) {
        return;
    }
    if (now - periodStart_ >= kBaselinePeriod) {
        previousMinimum_ = minimum_;
        minimum_.reset();
        periodStart_ = now;
    }
    minimum_ = std::min(minimum_.value_or(ownTime_), ownTime_);
}

void ConcurrencyLimit::resetOwnTime(TimePoint now)
{
    ownTimeSince_ = now;
    ownTimeSamples_ = 0;
    minimum_.reset();
    previousMinimum_.reset();
}

bool ConcurrencyLimit::isSlow() const
{
    return minimum_ && ownTime_ > kSlowFactor * std::min(*minimum_, previousMinimum_.value_or(*minimum_));
}

void ConcurrencyLimit::startMeasurement(TimePoint now)
{
    // Begins after a settling time, in which most completions are of requests that were started under the previous
    // limit.
    trial_->begin = now + Millis{std::max(kMinTrialSettling.value, kTrialSettlingOwnTimes * ownTime_)};
    trial_->end = trial_->begin + kMaxMeasurement;
    trial_->completed = 0;
    trial_->measured = {};
}

void ConcurrencyLimit::evaluateTrial(TimePoint now)
{
    if (trial_->completed < kTrialSamples && now < trial_->end) {
        return;
    }
    const bool hasEnoughSamples = trial_->completed >= kMinTrialSamples;
    const double rate = trial_->completed / std::max(trial_->measured.value, 1.0);
    if (hasEnoughSamples && !trial_->rateBefore) {
        trial_->rateBefore = rate;
        // Rounded up, since rounding a limit of a few slots down could halve the throughput of a small server.
        limit_ = std::ceil(limit_ * kTrialFactor);
        startMeasurement(now);
        return;
    }
    if (hasEnoughSamples && rate >= kMinThroughputRatio * *trial_->rateBefore) {
        raiseShare_ = kFirstRaiseShare;
        failedTrials_ = 0;
    } else {
        limit_ = trial_->limitBefore;
        if (++failedTrials_ >= kFailedTrialsToReset) {
            failedTrials_ = 0;
            resetOwnTime(now);
        }
    }
    trial_.reset();
}

void ConcurrencyLimit::raise()
{
    limit_ += std::max(slots_ * raiseShare_, kMinRaise);
    raiseShare_ = std::min(raiseShare_ * kRaiseGrowth, kRaiseShare);
}

} // namespace Hibiscus
