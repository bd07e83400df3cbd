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
 * It is a token bucket that holds 10 tokens and is full at the start, unless setLimits() sets other bounds. A
 * completion adds 0.05 tokens and a retry consumes 1, so retries add at most 5% to the requests in the long run. In
 * addition no retry is allowed while more than 10% of the responses of the last second were load-shedding rejections.
 */
class RetryBudget
{
public:
    /** A completion adds @p perCompletion tokens; the bucket holds at most @p bucket tokens, but at least 1. */
    void setLimits(double perCompletion, double bucket);

    /** Records a complete response. */
    void recordCompletion(TimePoint now);
    /** Records a load-shedding rejection. */
    void recordShed(TimePoint now);
    /** Acquires a token for a retry; false if the retry must not be made. */
    bool tryAcquireToken(TimePoint now);

    /** Tokens in the bucket, for metrics. */
    double tokens() const;

private:
    struct Slice {
        std::uint32_t completions = 0;
        std::uint32_t sheds = 0;
    };

    // The current slice of 100 ms and the 10 before it cover the last second.
    static constexpr std::size_t kSlices = 11;

    /** Slice that contains @p now. Clears the slices that are older than one second first. */
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
