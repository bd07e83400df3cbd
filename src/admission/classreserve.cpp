#include "admission/classreserve.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

// The recent peak covers the current period of this length and the one before.
constexpr Millis kPeakPeriod{5000};
constexpr double kMeanWeight = 0.2;
// With exponentially distributed hold times the standard error of the smoothed hold time is 6%.
constexpr int kHoldSamples = 128;
// While completions are overdue, the hold time is learned from this many of them. A server that has become slower is
// thus told apart from one that stands still while the reserve leaves the lower classes only a few slots.
constexpr int kOverdueHoldSamples = 16;
// Shorter own service times are mostly loopback and scheduling noise, in ms.
constexpr double kMinOwnTime = 1;

// Ratio of hold time to own service time up to which the stall factor is 0. At a ratio larger by 1 the factor is 1.
constexpr double kStallThreshold = 1.5;
// Weight of the mean age of the running requests. With exponentially distributed service times, that age equals the
// mean service time, but it varies strongly if only a few requests run.
constexpr double kAgeWeight = 0.5;
// Completions count as due after 1.5 hold times, so that the sum of overdue ones does not drift up by chance.
constexpr double kCompletionSlack = 1.5;
// The sum of overdue completions stays below this with a probability of about 1 - e^-17 if completions are a Poisson
// process.
constexpr double kOverdueCompletionsThreshold = 20;
// Upper bound of the sum of overdue completions, so that it falls soon after the deep service responds again.
constexpr double kMaxOverdueCompletions = 30;

} // namespace

ClassReserve::ClassReserve(int classCount, TimePoint now)
    : windowStart_(now)
    , integratedTo_(now)
    , periodStart_(now)
{
    setClassCount(classCount);
}

void ClassReserve::setClassCount(int classCount)
{
    while (classes_.size() < static_cast<std::size_t>(classCount)) {
        // A new class is above all others, so its split starts with the slots that all of them hold.
        splits_.push_back(splits_.empty() ? ClassSplit{} : splits_.back());
        classes_.emplace_back();
    }
}

bool ClassReserve::canStart(int classRank, int limit, TimePoint now) const
{
    for (std::size_t i = static_cast<std::size_t>(classRank); i < splits_.size(); ++i) {
        // One slot is always left to the lower classes, or a small limit would starve them.
        const int available = limit - std::min(reserve(static_cast<int>(i), now), limit - 1);
        if (splits_[i].lowerInFlight >= available) {
            return false;
        }
    }
    return true;
}

void ClassReserve::started(int classRank, TimePoint now)
{
    integrate(now);
    ++classes_[static_cast<std::size_t>(classRank)].inFlight;
    for (std::size_t i = 0; i < splits_.size(); ++i) {
        ClassSplit &split = splits_[i];
        if (static_cast<std::size_t>(classRank) > i) {
            ++split.higherInFlight;
            split.peak = std::max(split.peak, split.higherInFlight);
        } else {
            ++split.lowerInFlight;
            split.lowerStartSum += now.value;
        }
    }
}

void ClassReserve::finished(int classRank, TimePoint start, TimePoint now, Millis ownTime)
{
    integrate(now);
    --classes_[static_cast<std::size_t>(classRank)].inFlight;
    for (std::size_t i = 0; i < splits_.size(); ++i) {
        ClassSplit &split = splits_[i];
        if (static_cast<std::size_t>(classRank) > i) {
            --split.higherInFlight;
            continue;
        }
        --split.lowerInFlight;
        split.overdueCompletions = std::max(0.0, split.overdueCompletions - 1);
        // Set to zero when no lower request is left, so that rounding errors do not add up.
        split.lowerStartSum = split.lowerInFlight == 0 ? 0 : split.lowerStartSum - start.value;
        recordHold(split, now - start, ownTime);
    }
}

void ClassReserve::closeWindow(TimePoint now)
{
    integrate(now);
    const double length = std::max((now - windowStart_).value, 1.0);
    for (ClassState &state : classes_) {
        state.mean = state.area / length;
        state.area = 0;
    }
    for (std::size_t i = 0; i < splits_.size(); ++i) {
        updateReserve(i, now);
    }
    windowStart_ = now;
    if (now - periodStart_ < kPeakPeriod) {
        return;
    }
    periodStart_ = now;
    for (ClassSplit &split : splits_) {
        split.previousPeak = split.peak;
        split.peak = split.higherInFlight;
    }
}

int ClassReserve::reserve(int classRank, TimePoint now) const
{
    const ClassSplit &split = splits_[static_cast<std::size_t>(classRank)];
    return overdueCompletions(split, now) > kOverdueCompletionsThreshold ? std::max(split.reserve, higherPeak(split))
                                                                         : split.reserve;
}

int ClassReserve::inFlight(int classRank) const
{
    return classes_[static_cast<std::size_t>(classRank)].inFlight;
}

int ClassReserve::totalInFlight() const
{
    return splits_.back().lowerInFlight;
}

double ClassReserve::meanInFlight(int classRank) const
{
    return classes_[static_cast<std::size_t>(classRank)].mean;
}

void ClassReserve::integrate(TimePoint now)
{
    const double elapsed = (now - integratedTo_).value;
    for (ClassState &state : classes_) {
        state.area += state.inFlight * elapsed;
    }
    for (ClassSplit &split : splits_) {
        split.overdueCompletions = overdueCompletions(split, now);
    }
    integratedTo_ = now;
}

int ClassReserve::higherPeak(const ClassSplit &split)
{
    return std::max(split.peak, split.previousPeak);
}

/**
 * Completions of lower requests that were due by their hold time but did not happen, as when the service that they wait
 * for stops responding. The averages reflect that only after the lower classes have occupied the slots that higher ones
 * release.
 */
double ClassReserve::overdueCompletions(const ClassSplit &split, TimePoint now) const
{
    if (split.lowerHoldTime <= 0) {
        return 0;
    }
    const double due = split.lowerInFlight * (now - integratedTo_).value
        / (kCompletionSlack * std::max(split.lowerHoldTime, kMinOwnTime));
    return std::min(split.overdueCompletions + due, kMaxOverdueCompletions);
}

/** The first samples count fully, since times smoothed from 0 would make the completions after them seem overdue. */
void ClassReserve::recordHold(ClassSplit &split, Millis hold, Millis ownTime)
{
    const bool isOverdue = split.overdueCompletions > kOverdueCompletionsThreshold;
    const int mostSamples = isOverdue ? kOverdueHoldSamples : kHoldSamples;
    split.lowerSamples = std::min(split.lowerSamples + 1, mostSamples);
    const double weight = 1.0 / split.lowerSamples;
    split.lowerHoldTime += weight * (hold.value - split.lowerHoldTime);
    split.lowerOwnTime += weight * (ownTime.value - split.lowerOwnTime);
}

/** From 0 (slots are held for at most 1.5 times the own service time) to 1 (for at least 2.5 times). */
double ClassReserve::stallFactor(const ClassSplit &split, TimePoint now)
{
    if (split.lowerInFlight == 0) {
        return 0;
    }
    // Unlike the hold time, the age also covers requests that have not completed because they wait for a child call.
    const double meanAge = now.value - split.lowerStartSum / split.lowerInFlight;
    const double hold = std::max(split.lowerHoldTime, meanAge * kAgeWeight);
    return std::clamp(hold / std::max(split.lowerOwnTime, kMinOwnTime) - kStallThreshold, 0.0, 1.0);
}

void ClassReserve::updateReserve(std::size_t index, TimePoint now)
{
    ClassSplit &split = splits_[index];
    double higher = 0;
    for (std::size_t i = index + 1; i < classes_.size(); ++i) {
        higher += classes_[i].mean;
    }
    split.higherMean += kMeanWeight * (higher - split.higherMean);
    // One standard deviation of a Poisson distribution below the mean: at the mean, 2 to 5% of the slots stay idle.
    const double usual = std::max(0.0, split.higherMean - std::sqrt(split.higherMean));
    split.reserve =
        static_cast<int>(std::lround(usual + stallFactor(split, now) * std::max(0.0, higherPeak(split) - usual)));
}

} // namespace Hibiscus
