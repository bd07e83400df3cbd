#include "soak/faultplan.h"

#include "core/randomsource.h"

#include <algorithm>
#include <array>

namespace Hibiscus
{

namespace
{

/** Mean distance of the beginnings of two faults. */
constexpr std::uint64_t kMeanGapMillis = 400;
constexpr std::uint64_t kShortestMillis = 50;
constexpr std::uint64_t kLongestMillis = 3000;
/** A fault is followed by another one of the same kind on the same host this often, one in so many. */
constexpr std::uint64_t kSeriesDivisor = 3;

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
    Millis at{0};
    while (true) {
        at = at + Millis{static_cast<double>(random.below(2 * kMeanGapMillis))};
        const Millis length{static_cast<double>(kShortestMillis + random.below(kLongestMillis - kShortestMillis))};
        const auto kind = static_cast<FaultKind>(random.below(kFaultKinds));
        const auto host = static_cast<std::size_t>(random.below(hosts));
        const bool isRepeated = !faults.empty() && random.below(kSeriesDivisor) == 0;
        if (at >= duration) {
            return faults;
        }
        Fault fault{at, std::min(length, duration - at), kind, host};
        if (isRepeated) {
            fault.kind = faults.back().kind;
            fault.host = faults.back().host;
        }
        faults.push_back(fault);
    }
}

} // namespace Hibiscus
