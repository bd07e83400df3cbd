#ifndef HIBISCUS_ADMISSION_LEVEL_H
#define HIBISCUS_ADMISSION_LEVEL_H

#include <compare>
#include <limits>

namespace Hibiscus
{

/** Buckets per request class. The bucket is from a hash of the root request (see fairBucket()), so all calls below one
 * root share it. */
inline constexpr int kBucketsPerClass = 128;

/**
 * Importance of a request, or the lowest importance that is admitted: class rank * 128 + bucket.
 * A request is admitted where its own level is at least the admission level; 0 admits everything.
 */
struct Level {
    int value = 0;

    friend constexpr auto operator<=>(Level, Level) = default;
};

/** Level that is admitted everywhere. */
inline constexpr Level kHighestLevel{std::numeric_limits<int>::max()};

constexpr Level levelOf(int classRank, int bucket)
{
    return {classRank * kBucketsPerClass + bucket};
}

} // namespace Hibiscus

#endif
