#include "config/configuration.h"

#include "config/configurationdifference.h"
#include "config/daemonsettingscheck.h"

#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(HIBISCUS_EXAMPLES) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Configuration exampleConfiguration(const std::string &deployment)
{
    Configuration configuration;
    configuration.version = ConfigVersion(7);
    auto inventory = parseInventory(readExample(deployment + "/inventory.json"), "inventory");
    REQUIRE_MESSAGE(inventory.has_value(),
                    formatConfigErrors(inventory.has_value() ? std::vector<ConfigError>() : inventory.error()));
    configuration.inventory = *inventory;
    auto rules = parseRules(readExample(deployment + "/rules.json"), "rules", *inventory);
    REQUIRE_MESSAGE(rules.has_value(),
                    formatConfigErrors(rules.has_value() ? std::vector<ConfigError>() : rules.error()));
    configuration.rules = *rules;
    configuration.audit = {{"c-1", "Aiko \"A\" M\xc3\xbcller", "line\nother \\ line", 1'764'800'000'000,
                            ConfigVersion(6), ConfigVersion(7)}};
    return configuration;
}

} // namespace

TEST_CASE("examples: both deployments are valid, have servers in each domain and are unchanged by serialization")
{
    // Guards against outdated examples, and against a daemon that reads other rules than the operator wrote.
    for (const std::string deployment : {"kitami", "peachtree"}) {
        const Configuration configuration = exampleConfiguration(deployment);
        CHECK(parseConfiguration(serializeConfiguration(configuration)) == configuration);
        CHECK(configuration.inventory.domains.size() == 3);
        for (const FailureDomainEntry &domain : configuration.inventory.domains) {
            CHECK(serversInDomain(configuration.inventory, domain.name).size() >= 4);
        }
    }
    const Configuration kitami = exampleConfiguration("kitami");
    const RequestClass &deposit = classify(kitami.rules, ServiceName("deposit-desk"), "POST", "/deposits/17");
    CHECK(deposit.rank == static_cast<int>(kitami.rules.classes.size()) - 1);
    CHECK_FALSE(deposit.repeatable);
    const Configuration peachtree = exampleConfiguration("peachtree");
    CHECK(classify(peachtree.rules, ServiceName("adoptions"), "POST", "/holds").name.value() == "adoption-holds");
    CHECK(classify(peachtree.rules, ServiceName("listings"), "GET", "/").rank == 0);
}

TEST_CASE("Configuration: an audit entry that is not UTF-8 is stored, and deadlines keep fractions of a millisecond")
{
    // Guards against an exception during a write, and against a deadline that changes when it is stored.
    Configuration configuration = exampleConfiguration("kitami");
    configuration.audit[0].author = "Zo\xeb";
    configuration.rules.classes[0].deadline = Millis{1234.567};
    const auto stored = parseConfiguration(serializeConfiguration(configuration));
    REQUIRE(stored.has_value());
    CHECK(stored->rules == configuration.rules);
    CHECK(parseAuditEntry(serializeAuditEntry(stored->audit[0]), "audit/7") == stored->audit[0]);
}

TEST_CASE("describeDifference: one line per change, with the values before and after")
{
    // Guards against applying a change that the operator wasn't shown.
    const Configuration before = exampleConfiguration("kitami");
    CHECK(describeDifference(before.inventory, before.rules, before.inventory, before.rules).empty());
    Configuration after = before;
    after.inventory.servers[0].slots = 150;
    after.inventory.servers.erase(after.inventory.servers.begin() + 1);
    after.rules.classes[0].deadline = Millis{3000};
    after.rules.routes.back().requestClass = ClassName("waivers");
    after.rules.defaultClass = ClassName("browsing");
    std::swap(after.rules.classes[1], after.rules.classes[2]);
    const std::vector<std::string> expected{
        "~ server raft-catalogue-1: slots 140 -> 150",
        "- server raft-catalogue-2: service raft-catalogue, domain akan-b, slots 140, connections 900",
        "~ class browsing: deadline 2 s -> 3 s",
        "~ class order: deposits > bookings > waivers > browsing -> deposits > waivers > bookings > browsing",
        "~ route lake-board GET /: class browsing -> waivers",
        "~ default class: bookings -> browsing",
    };
    CHECK(describeDifference(before.inventory, before.rules, after.inventory, after.rules) == expected);
    CHECK(describeDifference({}, {}, before.inventory, before.rules).size() == 3 + 4 + 16 + 4 + 1 + 7 + 1);
}

TEST_CASE("DaemonSettingsCheck: server and failure domain must agree with the inventory")
{
    // Guards against a daemon that joins the wrong failure domain.
    const Configuration kitami = exampleConfiguration("kitami");
    auto settings = parseDaemonSettings(readExample("kitami/daemon.json"), "daemon.json");
    REQUIRE(settings.has_value());
    const DaemonSettingsCheck check("daemon.json");
    CHECK(check.checkAgainst(*settings, kitami.inventory).empty());
    settings->domain = FailureDomainName("akan-b");
    CHECK(check.checkAgainst(*settings, kitami.inventory).at(0).location == "/domain");
    settings->server = ServerName("desk-9");
    CHECK(check.checkAgainst(*settings, kitami.inventory).at(0).location == "/server");
}

TEST_CASE("Configuration: a predecessor is recognized by the changes that its successors list")
{
    // Guards against an older copy that is taken for a later configuration because versions were given out again.
    const auto withChanges = [](const std::vector<std::string> &ids) {
        Configuration configuration;
        for (const std::string &id : ids) {
            configuration.audit.push_back({id, "a", "s", 0, ConfigVersion(0), ConfigVersion(0)});
        }
        return configuration;
    };
    const Configuration copy = withChanges({"1", "2"});
    CHECK(isPredecessor(copy, withChanges({"1", "2", "3"})));
    CHECK(isPredecessor(copy, copy));
    CHECK_FALSE(isPredecessor(withChanges({"1", "2", "other"}), withChanges({"1", "2", "3"})));
    CHECK(isPredecessor(withChanges({}), copy));
    CHECK_FALSE(isPredecessor(copy, withChanges({})));
}
