#include "admission/admissionlevel.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

// With fewer admitted buckets the load of the whole class can't be extrapolated.
constexpr double kLeastShare = 1.0 / 16;
// Remembered load of a refused class after one window; down to a fifth after 1 s.
constexpr double kRemembered = 0.85;
constexpr double kLeastWeight = 0.3;
constexpr double kSmoothingCount = 16;
// Queue length that is no reason to shed, as a part of what completes in a window (10 ms).
constexpr double kAllowedQueue = 0.1;
// A longer queue is worked off at the price of at most this share of the admitted load. What waits too long is dropped
// anyway, and a queue that empties while load is being shed leaves slots idle.
constexpr double kDrainShare = 0.1;
// Standard errors by which the admitted load may exceed what completed. Without them a server with few requests per
// window sheds because of the scatter of the counts.
constexpr double kCountingError = 1.5;
// A class is shed only after the lower ones hold no more than this share of the limit.
constexpr double kLowerClassShare = 0.1;
// Consecutive windows (0.5 s) for which the highest class must be delayed before any of it is shed. It may be queued
// for 1 s, and a short shortage of slots passes in that time.
constexpr int kPatience = 5;
// From the highest level to 0 within 10 windows (1 s).
constexpr int kWindowsToLowest = 10;

double smoothed(double value, double sample, double count)
{
    return value + std::max(kLeastWeight, count / (count + kSmoothingCount)) * (sample - value);
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
    Offered &offered = offered_[static_cast<std::size_t>(request.value / kBucketsPerClass)];
    ++(admits(request) ? offered.admitted : offered.refused);
}

void AdmissionLevel::closeWindow(const WindowLoad &load)
{
    const double windows = std::max(load.length.value / kAdmissionWindow.value, 1.0);
    learnOffered(windows);
    completed_ = smoothed(completed_, load.completed / windows, load.completed);
    highestDelayed_ = load.classes.back().isDelayed() ? highestDelayed_ + 1 : 0;
    const bool delayed =
        std::any_of(load.classes.begin(), load.classes.end(), [](const ClassLoad &one) { return one.isDelayed(); });
    if (delayed) {
        raise(load);
    } else {
        lower(load);
    }
}

/** One bucket of the highest class is always admitted, so that the end of an overload is noticed. */
int AdmissionLevel::highestLevel() const
{
    return static_cast<int>(offered_.size()) * kBucketsPerClass - 1;
}

double AdmissionLevel::admittedShare(int classRank) const
{
    const int refusedBuckets = std::clamp(level_ - levelOf(classRank, 0).value, 0, kBucketsPerClass);
    return 1 - static_cast<double>(refusedBuckets) / kBucketsPerClass;
}

void AdmissionLevel::learnOffered(double windows)
{
    for (std::size_t i = 0; i < offered_.size(); ++i) {
        Offered &offered = offered_[i];
        const double share = admittedShare(static_cast<int>(i));
        if (share >= kLeastShare) {
            const double sample = offered.admitted / (share * kBucketsPerClass * windows);
            offered.perBucket = smoothed(offered.perBucket, sample, offered.admitted);
        } else {
            const double seen = (offered.admitted + offered.refused) / (kBucketsPerClass * windows);
            offered.perBucket = std::max(seen, offered.perBucket * kRemembered);
        }
        offered.admitted = 0;
        offered.refused = 0;
    }
}

double AdmissionLevel::perBucketAt(int level) const
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
 * Only the classes below the highest delayed one are shed at once. It is shed itself only after the lower ones are
 * refused and have left the server, since until then they may be what delays it.
 */
int AdmissionLevel::highestAllowed(const WindowLoad &load) const
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
    if (level_ < base || lowerInFlight > kLowerClassShare * load.limit || (isHighest && highestDelayed_ < kPatience)) {
        return base;
    }
    return std::min(base + kBucketsPerClass, highestLevel());
}

void AdmissionLevel::raise(const WindowLoad &load)
{
    const int allowed = highestAllowed(load);
    const double excess = std::max(0.0, static_cast<double>(load.queued) - kAllowedQueue * completed_);
    const double target = completed_ - std::min(excess, kDrainShare * completed_)
        + (getenv("KN") ? atof(getenv("KN")) : 1) * std::sqrt(completed_);
    double expected = expectedAdmitted();
    while (level_ < allowed && expected > target) {
        expected -= perBucketAt(level_);
        ++level_;
    }
}

void AdmissionLevel::lower(const WindowLoad &load)
{
    if (static_cast<double>(load.queued) > kAllowedQueue * completed_) {
        return;
    }
    double inFlight = 0;
    for (const ClassLoad &one : load.classes) {
        inFlight += one.meanInFlight;
    }
    const int steps = (highestLevel() + kWindowsToLowest) / kWindowsToLowest;
    const int lowest = std::max(0, level_ - steps);
    if (inFlight < 1) {
        level_ = lowest;
        return;
    }
    double free = completed_ * (load.limit / inFlight - 1);
    while (level_ > lowest && free >= perBucketAt(level_ - 1)) {
        free -= perBucketAt(level_ - 1);
        --level_;
    }
}

} // namespace Hibiscus
