#include "admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

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
// A window of this many samples moves the smoothed own service time halfway, if it is long enough.
constexpr double kSmoothingSamples = 64;
// The requests that end first after a rise of the load are the short ones. Smoothing over several service times keeps
// them from passing for a fast server.
constexpr double kSmoothingOwnTimes = 5;
constexpr double kSettlingOwnTimes = 20;
constexpr Millis kLeastSettling{1000};
constexpr int kLeastSamples = 64;
// Only a limit that was nearly reached can have caused overload.
constexpr double kUsedShare = 0.75;
constexpr double kTrialFactor = 0.7;
// Between the effect on the throughput of an overloaded server (1.0) and of any other (0.7), three standard errors off
// the latter: a limit lowered in error costs throughput, one restored in error is tried again.
constexpr double kKeptThroughput = 0.88;
// The standard error of a rate measured over this many requests is 5%.
constexpr int kTrialSamples = 400;
constexpr int kLeastTrialSamples = 30;
constexpr Millis kTrialSettling{200};
constexpr double kTrialSettlingOwnTimes = 2;
// A single trial can fail by chance, and a new baseline hides an overload until the end of the period.
constexpr int kFailuresToForget = 2;
constexpr Millis kLongestMeasurement{3000};
constexpr double kShedFactor = 0.7;
// Shedding by a server with free slots must not stop all work.
constexpr double kLowestShare = 0.25;
// From 0 to all slots within 2 s of windows of 100 ms.
constexpr double kRaiseShare = 0.05;
// The first raise after a back-off is small and grows from window to window, to stay close to the real limit.
constexpr double kFirstRaiseShare = 0.005;
constexpr double kRaiseGrowth = 2;
constexpr double kLeastRaise = 0.05;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, TimePoint now)
    : slots_(std::max(slots, 1))
    , limit_(slots_)
    , raiseShare_(kRaiseShare)
    , windowStart_(now)
    , learningSince_(now)
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

void ConcurrencyLimit::startCold(TimePoint now)
{
    coldSince_ = now;
    limit_ = ceiling(now);
    trial_.reset();
    forgetOwnTime(now);
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
    windowSum_ += std::max(sample.ownTime().value, kShortestOwnTime);
    ++windowCount_;
}

void ConcurrencyLimit::closeWindow(TimePoint now, int peakInFlight)
{
    if (coldSince_ && now - *coldSince_ >= kColdStart) {
        coldSince_.reset();
        forgetOwnTime(now);
    }
    if (trial_ && windowStart_ >= trial_->begin) {
        trial_->completed += windowCount_;
        trial_->measured = trial_->measured + (now - windowStart_);
    }
    smoothOwnTime(now);
    if (limitBeforeShed_) {
        limitBeforeShed_.reset();
        trial_.reset();
        raiseShare_ = kFirstRaiseShare;
    } else if (trial_) {
        judgeTrial(now);
    } else if (learnBaseline(now); !isSlow()) {
        raise();
    } else if (peakInFlight >= kUsedShare * value()) {
        trial_ = Trial{.limitBefore = limit_};
        measureRate(now);
    }
    limit_ = std::clamp(limit_, lowest(), ceiling(now));
    windowStart_ = now;
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

/** The server holds at most the other requests, hence they are its real limit. At most 30% off in one window. */
void ConcurrencyLimit::backOffAfterShed(int othersInFlight)
{
    if (!limitBeforeShed_) {
        limitBeforeShed_ = limit_;
    }
    const double least = std::max(lowest(), *limitBeforeShed_ * kShedFactor);
    limit_ = std::min(limit_, std::max<double>(othersInFlight, least));
}

void ConcurrencyLimit::smoothOwnTime(TimePoint now)
{
    const double length = std::max((now - windowStart_).value, 1.0);
    const double count = windowCount_;
    if (windowCount_ > 0) {
        const double byCount = count / (count + kSmoothingSamples);
        const double byLength = length / (length + kSmoothingOwnTimes * ownTime_);
        const double weight = ownTimeSamples_ == 0 ? 1 : std::min(byCount, byLength);
        ownTime_ += weight * (windowSum_ / count - ownTime_);
    }
    ownTimeSamples_ = std::min(ownTimeSamples_ + windowCount_, kLeastSamples);
    windowSum_ = 0;
    windowCount_ = 0;
}

bool ConcurrencyLimit::knowsOwnTime(TimePoint now) const
{
    const Millis settling{std::max(kLeastSettling.value, kSettlingOwnTimes * ownTime_)};
    return !coldSince_ && ownTimeSamples_ >= kLeastSamples && now - learningSince_ >= settling;
}

void ConcurrencyLimit::learnBaseline(TimePoint now)
{
    if (!knowsOwnTime(now)) {
        return;
    }
    if (now - periodStart_ >= kBaselinePeriod) {
        previousMinimum_ = minimum_;
        minimum_.reset();
        periodStart_ = now;
    }
    minimum_ = std::min(minimum_.value_or(ownTime_), ownTime_);
}

void ConcurrencyLimit::forgetOwnTime(TimePoint now)
{
    learningSince_ = now;
    ownTimeSamples_ = 0;
    minimum_.reset();
    previousMinimum_.reset();
}

bool ConcurrencyLimit::isSlow() const
{
    return minimum_ && ownTime_ > kSlowFactor * std::min(*minimum_, previousMinimum_.value_or(*minimum_));
}

void ConcurrencyLimit::measureRate(TimePoint now)
{
    // Until then the requests from before the last change mostly decide what completes.
    trial_->begin = now + Millis{std::max(kTrialSettling.value, kTrialSettlingOwnTimes * ownTime_)};
    trial_->end = trial_->begin + kLongestMeasurement;
    trial_->completed = 0;
    trial_->measured = {};
}

void ConcurrencyLimit::judgeTrial(TimePoint now)
{
    if (trial_->completed < kTrialSamples && now < trial_->end) {
        return;
    }
    const bool enough = trial_->completed >= kLeastTrialSamples;
    const double rate = trial_->completed / std::max(trial_->measured.value, 1.0);
    if (enough && !trial_->rateBefore) {
        trial_->rateBefore = rate;
        // Rounded up, since a cut of a few slots to the next lower number would halve the throughput of a small server.
        limit_ = std::ceil(limit_ * kTrialFactor);
        measureRate(now);
        return;
    }
    if (enough && rate >= kKeptThroughput * *trial_->rateBefore) {
        raiseShare_ = kFirstRaiseShare;
        failedTrials_ = 0;
    } else {
        limit_ = trial_->limitBefore;
        if (++failedTrials_ >= kFailuresToForget) {
            failedTrials_ = 0;
            forgetOwnTime(now);
        }
    }
    trial_.reset();
}

void ConcurrencyLimit::raise()
{
    limit_ += std::max(slots_ * raiseShare_, kLeastRaise);
    raiseShare_ = std::min(raiseShare_ * kRaiseGrowth, kRaiseShare);
}

} // namespace Hibiscus
