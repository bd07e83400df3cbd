#include "membership/ruleadoption.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Hibiscus;

namespace
{

std::vector<ServerName> names(const std::string &letters)
{
    std::vector<ServerName> result;
    for (const char letter : letters) {
        result.emplace_back(std::string(1, letter));
    }
    return result;
}

/** Response of server @c name to a round sent at @c sentAt; it arrives 10 ms later. */
struct Report {
    char name;
    double sentAt;
    std::uint64_t adopted = 2;
    std::uint64_t incarnation = 1;
    bool counts = true;

    AdoptionReport asReport() const
    {
        return {ServerName(std::string(1, name)), Incarnation(incarnation), ConfigVersion(adopted), counts};
    }
};

} // namespace

TEST_CASE("RuleAdoption: a version is confirmed by a majority that stays for L plus 10%")
{
    struct Case {
        std::string guards;
        std::string roster;
        std::string confirmedRoster;
        std::vector<Report> reports;
        std::uint64_t confirmable; ///< 0 for none.
    };
    const std::vector<Case> cases{
        {"a version that is never confirmed", "abc", "abc", {{'a', 0}, {'b', 0}, {'a', 5510}, {'b', 5510}}, 2},
        {"a wait that ends early", "abc", "abc", {{'a', 0}, {'b', 0}, {'a', 5509}, {'b', 5509}}, 0},
        {"a wait from the first adoption", "abc", "abc", {{'a', 0}, {'b', 4000}, {'a', 6000}, {'b', 6000}}, 0},
        {"half of the roster taken for a majority", "abcd", "abcd", {{'a', 0}, {'b', 0}, {'a', 6000}, {'b', 6000}}, 0},
        {"a process replaced during the wait", "abc", "abc", {{'a', 0}, {'b', 0}, {'a', 6000}, {'b', 6000, 2, 9}}, 0},
        {"a process that was lost during the wait", "abc", "abc", {{'a', 0}, {'b', 0}, {'a', 6000}, {'c', 6000}}, 0},
        {"a process that doesn't count",
         "abc",
         "abc",
         {{'a', 0}, {'b', 0, 2, 1, false}, {'a', 6000}, {'b', 6000, 2, 1, false}},
         0},
        {"the old version taken for the new one",
         "abc",
         "abc",
         {{'a', 0}, {'b', 0, 1}, {'a', 6000}, {'b', 6000, 1}},
         0},
        {"servers outside the roster", "abc", "abc", {{'a', 0}, {'x', 0}, {'a', 6000}, {'x', 6000}}, 0},
        {"processes of the old roster that renew each other's leases under the old version",
         "de",
         "abc",
         {{'d', 0}, {'e', 0}, {'d', 6000}, {'e', 6000}},
         0},
        {"a roster change that is never confirmed",
         "bcd",
         "abc",
         {{'b', 0}, {'c', 0}, {'d', 0}, {'b', 6000}, {'c', 6000}},
         2},
        {"a domain without servers that confirms nothing ever", "", "", {}, 0},
        {"a removed domain that blocks the change", "", "abc", {{'a', 0}, {'b', 0}, {'a', 6000}, {'b', 6000}}, 2},
    };
    for (const Case &item : cases) {
        CAPTURE(item.guards);
        RuleAdoption adoption;
        adoption.setConfirmed(ConfigVersion(1), names(item.confirmedRoster));
        adoption.setRoster(ConfigVersion(2), names(item.roster));
        for (const Report &report : item.reports) {
            adoption.report(report.asReport(), {report.sentAt}, {report.sentAt + 10});
        }
        CHECK(adoption.confirmable().value_or(ConfigVersion()) == ConfigVersion(item.confirmable));
    }
}

TEST_CASE("RuleAdoption: a round renews the lease by a majority that counts and has no newer version")
{
    struct Case {
        std::string guards;
        std::vector<Report> round;
        bool fresh;
    };
    const std::vector<Case> cases{
        {"a lost lease without the platform", {{'a', 0}, {'b', 0, 1}}, true},
        {"a minority that serves", {{'a', 0}}, false},
        {"one process counted twice", {{'a', 0}, {'a', 0}}, false},
        {"a restarted process that counts", {{'a', 0}, {'b', 0, 2, 1, false}}, false},
        {"a process with a newer version that counts for an older one", {{'a', 0}, {'b', 0, 3}}, false},
        {"a server outside the roster that counts", {{'a', 0}, {'x', 0}}, false},
    };
    for (const Case &item : cases) {
        CAPTURE(item.guards);
        RuleAdoption adoption;
        adoption.setRoster(ConfigVersion(2), names("abc"));
        std::vector<AdoptionReport> round;
        for (const Report &report : item.round) {
            round.push_back(report.asReport());
        }
        CHECK(adoption.majorityFresh(round) == item.fresh);
    }
    CHECK_FALSE(RuleAdoption().majorityFresh({}));
}

TEST_CASE("isAccepted: every domain that may serve must have confirmed")
{
    // Guards against acceptance before a domain that was removed, or has not confirmed anything yet, follows.
    const FailureDomainName a("a");
    const FailureDomainName b("b");
    const ConfigVersion two(2);
    CHECK(isAccepted(two, {a, b}, {{a, two}, {b, ConfigVersion(3)}}));
    CHECK_FALSE(isAccepted(two, {a, b}, {{a, two}}));
    CHECK_FALSE(isAccepted(two, {a}, {{a, two}, {b, ConfigVersion(1)}}));
}
