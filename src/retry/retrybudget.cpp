#include "retry/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

constexpr Millis kSliceLength{100};
// Retries stop while more than one in this many responses is a load-shedding rejection.
constexpr std::uint32_t kShedDivisor = 10;

} // namespace

void RetryBudget::setLimits(double perCompletion, double bucket)
{
    perCompletion_ = static_cast<int>(perCompletion * kToken);
    bucketSize_ = std::max(kToken, static_cast<int>(bucket * kToken));
    centiTokens_ = std::min(centiTokens_, bucketSize_);
}

void RetryBudget::recordCompletion(TimePoint now)
{
    ++currentSlice(now).completions;
    centiTokens_ = std::min(centiTokens_ + perCompletion_, bucketSize_);
}

void RetryBudget::recordShed(TimePoint now)
{
    ++currentSlice(now).sheds;
}

bool RetryBudget::tryAcquireToken(TimePoint now)
{
    if (centiTokens_ < kToken || isShedding(now)) {
        return false;
    }
    centiTokens_ -= kToken;
    return true;
}

double RetryBudget::tokens() const
{
    return static_cast<double>(centiTokens_) / kToken;
}

RetryBudget::Slice &RetryBudget::currentSlice(TimePoint now)
{
    const auto index = static_cast<std::int64_t>(std::floor(now.value / kSliceLength.value));
    const auto passed = std::min<std::int64_t>(index - currentIndex_, kSlices);
    for (std::int64_t i = 0; i < passed; ++i) {
        slices_.at(static_cast<std::size_t>(index - i) % kSlices) = {};
    }
    currentIndex_ = std::max(currentIndex_, index);
    return slices_.at(static_cast<std::size_t>(currentIndex_) % kSlices);
}

bool RetryBudget::isShedding(TimePoint now)
{
    currentSlice(now);
    Slice sum;
    for (const Slice &slice : slices_) {
        sum.completions += slice.completions;
        sum.sheds += slice.sheds;
    }
    return sum.sheds * kShedDivisor > sum.completions + sum.sheds;
}

} // namespace Hibiscus
