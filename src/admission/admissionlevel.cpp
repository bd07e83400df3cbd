#include "admission/admissionlevel.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

// With a smaller share of admitted buckets, the load of the whole class can't be extrapolated.
constexpr double kMinExtrapolationShare = 1.0 / 16;
// Factor per window on the estimated load of a refused class; the estimate falls to a fifth within 1 s.
constexpr double kOfferedLoadDecay = 0.85;
constexpr double kMinSampleWeight = 0.3;
// A sample of this many requests has the weight 0.5.
constexpr double kSmoothingCount = 16;
// Queue length that is tolerated without shedding, as a share of the requests that complete in a window (10 ms of
// work).
constexpr double kToleratedQueueShare = 0.1;
// Largest share of the throughput by which the admitted load is reduced to shorten a longer queue. Tickets that wait
// too long are refused anyway, and a queue that runs empty while load is being shed leaves slots idle.
constexpr double kMaxQueueDrainShare = 0.1;
// Standard errors by which the admitted load may exceed the completed requests. Without this margin, a server with few
// requests per window sheds load because of counting noise.
constexpr double kToleratedStandardErrors = 1.5;
// A class is shed only after the lower ones hold no more than this share of the limit.
constexpr double kMaxLowerClassShare = 0.1;
// Consecutive windows (0.5 s) for which the highest class must be delayed before any of it is shed. Its tickets
// may be queued for 1 s, and a brief shortage of slots ends within that time.
constexpr int kMinDelayedWindows = 5;
// Bounds the fall of the level per window: from the highest value to 0 within 10 windows (1 s).
constexpr int kWindowsToZero = 10;

// Lower bound of the requests that a free slot is assumed to complete in a window. Without it, a few long requests that
// complete in none of the recent windows would make the server appear to have no capacity.
constexpr double kMinTurnover = 0.1;

double smoothed(double value, double sample, double count)
{
    return value + std::max(kMinSampleWeight, count / (count + kSmoothingCount)) * (sample - value);
}

} // namespace

AdmissionLevel::AdmissionLevel(int classCount)
{
    setClassCount(classCount);
}

void AdmissionLevel::setClassCount(int classCount)
{
    offered_.resize(std::max(offered_.size(), static_cast<std::size_t>(classCount)));
}

Level AdmissionLevel::value() const
{
    return {level_};
}

bool AdmissionLevel::admits(Level request) const
{
    return request.value >= level_;
}

void AdmissionLevel::recordArrival(Level request)
{
    OfferedLoad &offered = offered_[static_cast<std::size_t>(request.value / kBucketsPerClass)];
    ++(admits(request) ? offered.admitted : offered.refused);
}

void AdmissionLevel::closeWindow(const WindowLoad &load)
{
    const double windows = std::max(load.length.value / kAdmissionWindow.value, 1.0);
    updateOfferedLoad(windows);
    completed_ = smoothed(completed_, load.completed / windows, load.completed);
    highestClassDelayedWindows_ = load.classes.back().isDelayed() ? highestClassDelayedWindows_ + 1 : 0;
    const bool delayed = std::any_of(load.classes.begin(), load.classes.end(),
                                     [](const ClassLoad &classLoad) { return classLoad.isDelayed(); });
    if (delayed) {
        raise(load);
    } else {
        lower(load);
    }
}

/** Largest possible level. It admits one bucket of the highest class, so that the end of an overload is detected. */
int AdmissionLevel::highestLevel() const
{
    return static_cast<int>(offered_.size()) * kBucketsPerClass - 1;
}

double AdmissionLevel::admittedShare(int classRank) const
{
    const int refusedBuckets = std::clamp(level_ - levelOf(classRank, 0).value, 0, kBucketsPerClass);
    return 1 - static_cast<double>(refusedBuckets) / kBucketsPerClass;
}

void AdmissionLevel::updateOfferedLoad(double windows)
{
    for (std::size_t i = 0; i < offered_.size(); ++i) {
        OfferedLoad &offered = offered_[i];
        const double share = admittedShare(static_cast<int>(i));
        if (share >= kMinExtrapolationShare) {
            const double sample = offered.admitted / (share * kBucketsPerClass * windows);
            offered.perBucket = smoothed(offered.perBucket, sample, offered.admitted);
        } else {
            const double sample = (offered.admitted + offered.refused) / (kBucketsPerClass * windows);
            offered.perBucket = std::max(sample, offered.perBucket * kOfferedLoadDecay);
        }
        offered.admitted = 0;
        offered.refused = 0;
    }
}

double AdmissionLevel::offeredPerBucket(int level) const
{
    return offered_[static_cast<std::size_t>(level / kBucketsPerClass)].perBucket;
}

double AdmissionLevel::expectedAdmitted() const
{
    double sum = 0;
    for (std::size_t i = 0; i < offered_.size(); ++i) {
        sum += offered_[i].perBucket * kBucketsPerClass * admittedShare(static_cast<int>(i));
    }
    return sum;
}

/**
 * Upper bound of the level after this window. Only the classes below the highest delayed one are shed at once. That
 * class itself is shed only after the lower ones have left the server, since until then they may cause its delay.
 */
int AdmissionLevel::maxAllowedLevel(const WindowLoad &load) const
{
    int delayed = static_cast<int>(load.classes.size()) - 1;
    while (delayed > 0 && !load.classes[static_cast<std::size_t>(delayed)].isDelayed()) {
        --delayed;
    }
    double lowerInFlight = 0;
    for (int i = 0; i < delayed; ++i) {
        lowerInFlight += load.classes[static_cast<std::size_t>(i)].meanInFlight;
    }
    const int base = levelOf(delayed, 0).value;
    const bool isHighest = delayed + 1 == static_cast<int>(load.classes.size());
    if (lowerInFlight > kMaxLowerClassShare * load.limit
        || (isHighest && highestClassDelayedWindows_ < kMinDelayedWindows)) {
        return base;
    }
    return std::min(base + kBucketsPerClass, highestLevel());
}

void AdmissionLevel::raise(const WindowLoad &load)
{
    const int allowed = maxAllowedLevel(load);
    const double excess = std::max(0.0, static_cast<double>(load.queued) - kToleratedQueueShare * completed_);
    const double target = completed_ - std::min(excess, kMaxQueueDrainShare * completed_)
        + kToleratedStandardErrors * std::sqrt(completed_);
    double expected = expectedAdmitted();
    while (level_ < allowed && expected > target) {
        expected -= offeredPerBucket(level_);
        ++level_;
    }
}

void AdmissionLevel::lower(const WindowLoad &load)
{
    if (static_cast<double>(load.queued) > kToleratedQueueShare * completed_) {
        return;
    }
    double inFlight = 0;
    for (const ClassLoad &classLoad : load.classes) {
        inFlight += classLoad.meanInFlight;
    }
    const int steps = (highestLevel() + kWindowsToZero) / kWindowsToZero;
    const int lowest = std::max(0, level_ - steps);
    if (inFlight < 1) {
        level_ = lowest;
        return;
    }
    const double freeSlots = std::max(0.0, load.limit - inFlight);
    double free = freeSlots * std::max(completed_ / inFlight, kMinTurnover);
    while (level_ > lowest && free >= offeredPerBucket(level_ - 1)) {
        free -= offeredPerBucket(level_ - 1);
        --level_;
    }
}

} // namespace Hibiscus
