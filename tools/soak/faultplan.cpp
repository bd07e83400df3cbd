#include "soak/faultplan.h"

#include "core/randomsource.h"

#include <algorithm>
#include <array>

namespace Hibiscus
{

namespace
{

/** Mean time between the start times of two consecutive faults. */
constexpr std::uint64_t kMeanGapMillis = 400;
constexpr std::uint64_t kMinimumDurationMillis = 50;
constexpr std::uint64_t kMaximumDurationMillis = 3000;
/** On average, one fault in this many repeats the kind and host of the previous fault. */
constexpr std::uint64_t kRepeatDivisor = 3;

constexpr std::array<std::string_view, kFaultKinds> kNames{
    "kill daemon",     "stop daemon",  "hang up daemon", "pause daemon",
    "kill server",     "pause server", "reset callers",  "delay callers",
    "silence callers", "reset server", "delay server",   "lose answers of server",
    "refuse store",    "delay store",  "silence store",  "lose answers of store",
    "change rules",
};

} // namespace

std::string_view faultName(FaultKind kind)
{
    return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<Fault> planFaults(std::uint64_t seed, std::size_t hosts, Millis duration)
{
    SeededRandom random(seed);
    std::vector<Fault> faults;
    Millis start{0};
    while (true) {
        start = start + Millis{static_cast<double>(random.below(2 * kMeanGapMillis))};
        const Millis faultDuration{static_cast<double>(
            kMinimumDurationMillis + random.below(kMaximumDurationMillis - kMinimumDurationMillis))};
        const auto kind = static_cast<FaultKind>(random.below(kFaultKinds));
        const auto host = static_cast<std::size_t>(random.below(hosts));
        const bool isRepeated = !faults.empty() && random.below(kRepeatDivisor) == 0;
        if (start >= duration) {
            return faults;
        }
        Fault fault{start, std::min(faultDuration, duration - start), kind, host};
        if (isRepeated) {
            fault.kind = faults.back().kind;
            fault.host = faults.back().host;
        }
        faults.push_back(fault);
    }
}

} // namespace Hibiscus
