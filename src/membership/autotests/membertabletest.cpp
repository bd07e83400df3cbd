#include "membership/membertable.h"

#include "membership/membershiplimits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace Hibiscus;

namespace
{

MemberRecord record(std::uint64_t incarnation, std::uint64_t revision, bool up = true)
{
    MemberRecord result;
    result.name = ServerName("a");
    result.incarnation = Incarnation(incarnation);
    result.revision = revision;
    result.up = up;
    return result;
}

} // namespace

TEST_CASE("MemberTable: tables that merge the same records in any order are equal")
{
    // Guards against views that differ for good after a partition, or that fall back to an older record.
    const std::vector<MemberRecord> records{record(1, 5), record(1, 6), record(1, 6, false), record(2, 6),
                                            record(1, 4)};
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    MemberTable first;
    for (const MemberRecord &item : records) {
        first.merge(item);
    }
    CHECK(*first.find(ServerName("a")) == record(2, 6));
    do {
        MemberTable other;
        for (const std::size_t i : order) {
            other.merge(records[i]);
        }
        CHECK(other.digest() == first.digest());
        CHECK(other.records() == first.records());
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("MemberTable: a difference holds what changed since the version, and nothing else")
{
    // Guards against members that miss a change, and against whole tables that are sent for one change.
    MemberTable table;
    table.merge(record(1, 1));
    const std::uint64_t version = table.version();
    MemberRecord other = record(7, 1);
    other.name = ServerName("b");
    table.merge(other);
    table.merge({"crash", "k", "v", 1}, {0});
    table.setAdopted(ServerName("a"), ConfigVersion(4));
    CHECK(table.recordsSince(version) == std::vector{other});
    CHECK(table.entriesSince(version).size() == 1);
    CHECK(table.markDown(ServerName("a")));
    CHECK_FALSE(table.markDown(ServerName("a")));
    CHECK(table.recordsSince(version).size() == 2);
    CHECK(table.recordsSince(table.version()).empty());
}

TEST_CASE("MemberTable: payload entries are bounded in number and time")
{
    // Guards against a table that grows without limit while crash reports come in.
    MemberTable table;
    const std::uint64_t empty = table.digest();
    for (std::size_t i = 0; i < kMaxEntries + 5; ++i) {
        table.merge({"crash", std::to_string(i), "v", 1}, {0});
    }
    CHECK(table.entriesSince(0).size() == kMaxEntries);
    table.expire(TimePoint{0} + kEntryLifetime + Millis{1});
    CHECK(table.entriesSince(0).empty());
    CHECK(table.digest() == empty);
}
