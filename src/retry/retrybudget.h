#ifndef HIBISCUS_RETRY_RETRYBUDGET_H
#define HIBISCUS_RETRY_RETRYBUDGET_H

#include "core/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Hibiscus
{

/**
 * Limits the retries of one daemon to one service.
 *
 * A token bucket (10 tokens, full at the start, unless setLimits() says otherwise): a completion adds 0.05, a retry
 * takes 1, so retries add at most 5% in the long run. In addition no retry is made while more than 10% of the responses
 * of the last second were load-shedding rejections.
 */
class RetryBudget
{
public:
    /** @p perCompletion tokens for a completion, and at most @p bucket tokens at a time. */
    void setLimits(double perCompletion, double bucket);

    /** Records a complete response. */
    void recordCompletion(TimePoint now);
    /** Records a load-shedding rejection. */
    void recordShed(TimePoint now);
    /** Takes a token for a retry; false if the retry must not be made. */
    bool tryAcquireToken(TimePoint now);

    /** Tokens that are left, for metrics. */
    double tokens() const;

private:
    struct Slice {
        std::uint32_t completions = 0;
        std::uint32_t sheds = 0;
    };

    // The current slice of 100 ms and the 10 before it cover the last second.
    static constexpr std::size_t kSlices = 11;

    /** Slice of @p now, after clearing those that are older than a second. */
    Slice &currentSlice(TimePoint now);
    bool isShedding(TimePoint now);

    // In 1/100 of a token, as a sum of many 0.05 is not exact in floating point.
    static constexpr int kToken = 100;
    static constexpr int kBucketSize = 10 * kToken;
    static constexpr int kPerCompletion = 5;

    int bucketSize_ = kBucketSize;
    int perCompletion_ = kPerCompletion;
    int centiTokens_ = kBucketSize;
    std::array<Slice, kSlices> slices_{};
    std::int64_t currentIndex_ = 0;
};

} // namespace Hibiscus

#endif
