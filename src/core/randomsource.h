#ifndef HIBISCUS_CORE_RANDOMSOURCE_H
#define HIBISCUS_CORE_RANDOMSOURCE_H

#include <cstdint>
#include <random>

namespace Hibiscus
{

/** Source of random numbers. Components that make decisions receive it as a parameter, so that tests fix the seed. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** Uniformly distributed 64 bits. */
    virtual std::uint64_t next() = 0;

    /** Uniform index in [0, count). @p count must be positive. */
    std::uint64_t below(std::uint64_t count)
    {
        return next() % count;
    }

    /** Uniform in [0, 1). */
    double fraction()
    {
        constexpr int kMantissaBits = 53;
        constexpr double kScale = 1.0 / (std::uint64_t{1} << kMantissaBits);
        return static_cast<double>(next() >> (64 - kMantissaBits)) * kScale;
    }
};

/** Reproducible pseudo-random sequence of a given seed. */
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine_(seed)
    {
    }

    std::uint64_t next() override
    {
        return engine_();
    }

private:
    std::mt19937_64 engine_;
};

/** Random numbers of the operating system, for incarnations. */
class DeviceRandom : public RandomSource
{
public:
    std::uint64_t next() override
    {
        return (static_cast<std::uint64_t>(device_()) << 32U) | device_();
    }

private:
    std::random_device device_;
};

} // namespace Hibiscus

#endif
