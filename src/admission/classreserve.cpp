#include "admission/classreserve.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

// The peak covers this period and the one before.
constexpr Millis kPeakPeriod{5000};
constexpr double kMeanWeight = 0.2;
// With exponential times the standard error of the smoothed hold time is 6%.
constexpr double kHoldWeight = 1.0 / 128;
// Shorter own service times are mostly loopback and scheduling noise, in ms.
constexpr double kShortestOwnTime = 1;

// Hold time, in own service times, from which slots count as stalled; full at one more.
constexpr double kFirstStall = 1.5;
// The mean age of what runs equals the service time if that is exponentially distributed, and scatters with few.
constexpr double kAgeWeight = 0.5;
// Ends count as due after 1.5 hold times, so that the sum of missing ones does not drift up by chance.
constexpr double kEndSlack = 1.5;
// The sum stays below this with a probability of about 1 - e^-17 if ends are Poisson.
constexpr double kMissingEnds = 20;
// Bound on the sum, so that it falls soon after the service answers again.
constexpr double kMostMissingEnds = 60;

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
        // A new class is above all others, so its cut starts with what all of them hold.
        cuts_.push_back(cuts_.empty() ? Cut{} : cuts_.back());
        classes_.emplace_back();
    }
}

bool ClassReserve::canStart(int classRank, int limit, TimePoint now) const
{
    for (std::size_t i = static_cast<std::size_t>(classRank); i < cuts_.size(); ++i) {
        // One slot is always left to the lower classes, or a small limit would starve them.
        const int available = limit - std::min(reserve(static_cast<int>(i), now), limit - 1);
        if (cuts_[i].lowerInFlight >= available) {
            return false;
        }
    }
    return true;
}

void ClassReserve::started(int classRank, TimePoint now)
{
    integrate(now);
    ++classes_[static_cast<std::size_t>(classRank)].inFlight;
    for (std::size_t i = 0; i < cuts_.size(); ++i) {
        Cut &cut = cuts_[i];
        if (static_cast<std::size_t>(classRank) > i) {
            ++cut.higherInFlight;
            cut.peak = std::max(cut.peak, cut.higherInFlight);
        } else {
            ++cut.lowerInFlight;
            cut.lowerStartSum += now.value;
        }
    }
}

void ClassReserve::finished(int classRank, TimePoint start, TimePoint now, Millis ownTime)
{
    integrate(now);
    --classes_[static_cast<std::size_t>(classRank)].inFlight;
    for (std::size_t i = 0; i < cuts_.size(); ++i) {
        Cut &cut = cuts_[i];
        if (static_cast<std::size_t>(classRank) > i) {
            --cut.higherInFlight;
            continue;
        }
        --cut.lowerInFlight;
        cut.missingEnds = std::max(0.0, cut.missingEnds - 1);
        // Set to zero where nothing is left, so that rounding errors do not add up.
        cut.lowerStartSum = cut.lowerInFlight == 0 ? 0 : cut.lowerStartSum - start.value;
        cut.lowerHold += kHoldWeight * ((now - start).value - cut.lowerHold);
        cut.lowerOwn += kHoldWeight * (ownTime.value - cut.lowerOwn);
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
    for (std::size_t i = 0; i < cuts_.size(); ++i) {
        closeCut(i, now);
    }
    windowStart_ = now;
    if (now - periodStart_ < kPeakPeriod) {
        return;
    }
    periodStart_ = now;
    for (Cut &cut : cuts_) {
        cut.previousPeak = cut.peak;
        cut.peak = cut.higherInFlight;
    }
}

int ClassReserve::reserve(int classRank, TimePoint now) const
{
    const Cut &cut = cuts_[static_cast<std::size_t>(classRank)];
    return missingEnds(cut, now) > kMissingEnds ? std::max(cut.reserve, peakOf(cut)) : cut.reserve;
}

int ClassReserve::inFlight(int classRank) const
{
    return classes_[static_cast<std::size_t>(classRank)].inFlight;
}

int ClassReserve::totalInFlight() const
{
    return cuts_.back().lowerInFlight;
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
    for (Cut &cut : cuts_) {
        cut.missingEnds = missingEnds(cut, now);
    }
    integratedTo_ = now;
}

int ClassReserve::peakOf(const Cut &cut)
{
    return std::max(cut.peak, cut.previousPeak);
}

/**
 * Ends of lower requests that were due by their hold time but did not come, as when the service that they wait for
 * stops answering. The averages notice that only after the lower classes took the slots that higher ones release.
 */
double ClassReserve::missingEnds(const Cut &cut, TimePoint now) const
{
    if (cut.lowerHold <= 0) {
        return 0;
    }
    const double due =
        cut.lowerInFlight * (now - integratedTo_).value / (kEndSlack * std::max(cut.lowerHold, kShortestOwnTime));
    return std::min(cut.missingEnds + due, kMostMissingEnds);
}

/** From 0 (slots are held for little more than the own service time) to 1 (for more than twice as long). */
double ClassReserve::stallOf(const Cut &cut, TimePoint now)
{
    if (cut.lowerInFlight == 0) {
        return 0;
    }
    // The age counts what is still waiting for a child that does not answer at all.
    const double meanAge = now.value - cut.lowerStartSum / cut.lowerInFlight;
    const double hold = std::max(cut.lowerHold, meanAge * kAgeWeight);
    return std::clamp(hold / std::max(cut.lowerOwn, kShortestOwnTime) - kFirstStall, 0.0, 1.0);
}

void ClassReserve::closeCut(std::size_t index, TimePoint now)
{
    Cut &cut = cuts_[index];
    double higher = 0;
    for (std::size_t i = index + 1; i < classes_.size(); ++i) {
        higher += classes_[i].mean;
    }
    cut.higherMean += kMeanWeight * (higher - cut.higherMean);
    // One standard deviation of a Poisson distribution below the mean: at the mean, 2 to 5% of the slots stay idle.
    const double usual = std::max(0.0, cut.higherMean - std::sqrt(cut.higherMean));
    cut.reserve = static_cast<int>(std::lround(usual + stallOf(cut, now) * std::max(0.0, peakOf(cut) - usual)));
}

} // namespace Hibiscus
