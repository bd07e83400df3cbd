#ifndef HIBISCUS_CORE_MILLIS_H
#define HIBISCUS_CORE_MILLIS_H

#include <compare>

namespace Hibiscus
{

/** Duration in milliseconds. Fractions are allowed, since a local hop takes well under one millisecond. */
struct Millis {
    double value = 0;

    friend constexpr auto operator<=>(Millis, Millis) = default;
};

constexpr Millis operator+(Millis a, Millis b)
{
    return {a.value + b.value};
}

constexpr Millis operator-(Millis a, Millis b)
{
    return {a.value - b.value};
}

constexpr Millis operator*(Millis a, double factor)
{
    return {a.value * factor};
}

/** Instant in milliseconds since an arbitrary start; only comparable between readings of one clock. */
struct TimePoint {
    double value = 0;

    friend constexpr auto operator<=>(TimePoint, TimePoint) = default;
};

constexpr TimePoint operator+(TimePoint t, Millis d)
{
    return {t.value + d.value};
}

constexpr TimePoint operator-(TimePoint t, Millis d)
{
    return {t.value - d.value};
}

constexpr Millis operator-(TimePoint a, TimePoint b)
{
    return {a.value - b.value};
}

} // namespace Hibiscus

#endif
