#include "membership/freshnesslease.h"

#include "membership/membershiplimits.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace Hibiscus;

namespace
{

constexpr TimePoint kStart{100000};

TimePoint after(double millis)
{
    return kStart + Millis{millis};
}

} // namespace

TEST_CASE("FreshnessLease: length, start and version of each grant")
{
    struct Case {
        std::string guards;
        std::function<void(FreshnessLease &)> grants;
        double asked;
        bool valid;
    };
    const ConfigVersion old(3);
    const ConfigVersion next(4);
    const std::vector<Case> cases{
        {"serving without any grant", [](auto &) {}, 0, false},
        {"a lease that ends early", [&](auto &l) { l.grantFrom(kStart, old, after(900)); }, 4999, true},
        {"a lease that starts when the answer arrives", [&](auto &l) { l.grantFrom(kStart, old, after(900)); }, 5000,
         false},
        {"a grant that was delayed beyond its end", [&](auto &l) { l.grantFrom(kStart, old, after(5000)); }, 5000,
         false},
        {"a remainder that is ignored", [&](auto &l) { l.grantRemainder(kStart, {2000}, old, after(100)); }, 1999,
         true},
        {"a remainder that becomes a full lease", [&](auto &l) { l.grantRemainder(kStart, {2000}, old, after(100)); },
         2000, false},
        {"a remainder longer than L from a faulty peer",
         [&](auto &l) { l.grantRemainder(kStart, {90000}, old, after(100)); }, 5000, false},
        {"an echo from the future", [&](auto &l) { l.grantRemainder(after(4000), {5000}, old, after(100)); }, 200,
         false},
        {"serving an old version under a newer version's lease", [&](auto &l) { l.grantFrom(kStart, next, after(1)); },
         2, false},
        {"a held grant that is lost",
         [&](auto &l) {
             l.grantFrom(kStart, next, after(1));
             l.adopt(next, after(1000));
         },
         4999, true},
        {"a held grant that starts at the adoption",
         [&](auto &l) {
             l.grantFrom(kStart, next, after(1));
             l.adopt(next, after(1000));
         },
         5000, false},
        {"a later grant that shortens the lease",
         [&](auto &l) {
             l.grantFrom(kStart, old, after(1));
             l.grantRemainder(after(2), {10}, old, after(3));
         },
         4999, true},
        {"a replaced process that serves on",
         [&](auto &l) {
             l.grantFrom(kStart, old, after(1));
             l.revoke();
         },
         2, false},
    };
    for (const Case &item : cases) {
        CAPTURE(item.guards);
        FreshnessLease lease;
        lease.adopt(old, kStart);
        item.grants(lease);
        CHECK(lease.valid(after(item.asked)) == item.valid);
        CHECK((lease.remaining(after(item.asked)).value > 0) == item.valid);
    }
}

TEST_CASE("FreshnessLease: a process counts after L plus 10% without a gap")
{
    // Guards against a restarted or resumed process that stands in for one that had adopted a newer version.
    FreshnessLease lease;
    lease.adopt(ConfigVersion(1), kStart);
    const auto renewUntil = [&](double from, double until) {
        for (double t = from; t <= until; t += 500) {
            lease.grantFrom(after(t), ConfigVersion(1), after(t));
        }
    };
    renewUntil(0, 5000);
    CHECK_FALSE(lease.counts(after(5499)));
    CHECK(lease.counts(after(5500)));

    lease.noteGap(after(6000));
    renewUntil(6000, 11000);
    CHECK_FALSE(lease.counts(after(11499)));
    CHECK(lease.counts(after(11500)));

    renewUntil(16000, 21000); // The lease of 11000 ended at 16000.
    CHECK_FALSE(lease.counts(after(21499)));
    CHECK(lease.counts(after(21500)));

    lease.adopt(ConfigVersion(0), after(21600));
    CHECK(lease.adopted() == ConfigVersion(1));
}
