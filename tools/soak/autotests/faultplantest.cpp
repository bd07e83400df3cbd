#include "soak/faultplan.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace Hibiscus;

TEST_CASE("planFaults: the same seed gives the same faults, which end with the run")
{
    // Guards against seeds that can't be replayed, and against a fault that lasts beyond the run and falsifies its
    // result.
    constexpr std::size_t kHosts = 16;
    const Millis duration{60000};
    std::set<FaultKind> kinds;
    std::size_t overlapping = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const std::vector<Fault> faults = planFaults(seed, kHosts, duration);
        const std::vector<Fault> again = planFaults(seed, kHosts, duration);
        REQUIRE(faults.size() == again.size());
        for (std::size_t i = 0; i < faults.size(); ++i) {
            const Fault &fault = faults[i];
            CHECK(fault.start == again[i].start);
            CHECK(fault.kind == again[i].kind);
            CHECK(fault.host == again[i].host);
            CHECK(fault.host < kHosts);
            CHECK(fault.start + fault.duration <= duration);
            kinds.insert(fault.kind);
            overlapping += i > 0 && faults[i - 1].start + faults[i - 1].duration > fault.start ? 1U : 0U;
        }
    }
    CHECK(kinds.size() == kFaultKinds);
    CHECK(overlapping > 0);
    CHECK(planFaults(1, kHosts, duration).front().start != planFaults(2, kHosts, duration).front().start);
}
