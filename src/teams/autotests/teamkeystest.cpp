#include "teams/teamkeys.h"
#include "teams/credential.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

Team team(const std::string &name, const std::vector<std::string> &keys)
{
    Team result;
    result.name = TeamName(name);
    for (const std::string &key : keys) {
        result.keys.emplace_back(key);
    }
    return result;
}

std::string keyOf(std::string_view field)
{
    const Credential credential = parseCredential({field});
    return credential.kind == Credential::Kind::Key ? credential.key : "-";
}

} // namespace

TEST_CASE("TeamKeys: each key leads to its team, and no other text leads to one")
{
    // Guards against a caller that is taken for another team, and against a key that works by a piece of it.
    std::vector<Team> teams{team("withdrawn", {})};
    for (int i = 0; i < 2000; ++i) {
        const std::string name = "t" + std::to_string(i);
        teams.push_back(team(name, {"key-a-" + name, "key-b-" + name}));
    }
    const TeamKeys keys(teams, 20261204);
    for (std::size_t i = 1; i < teams.size(); ++i) {
        CHECK(keys.find("key-a-" + teams[i].name.value()) == &teams[i]);
        CHECK(keys.find("key-b-" + teams[i].name.value()) == &teams[i]);
    }
    CHECK(keys.find("") == nullptr);
    CHECK(keys.find("key-a-t") == nullptr);
    CHECK(keys.find("key-a-t0 ") == nullptr);
    CHECK(keys.find("KEY-A-T0") == nullptr);
    CHECK(keys.find(std::string(64U << 10U, 'k')) == nullptr);
    CHECK(TeamKeys({}, 1).find("key-a-t0") == nullptr);
}

TEST_CASE("TeamKeys: a key that two teams claim is found, and a key that one team names twice is allowed")
{
    // Guards against requests that count for one of two teams by chance.
    CHECK_FALSE(findSharedKey({team("a", {"1", "1"}), team("b", {"2"})}).has_value());
    const auto shared = findSharedKey({team("a", {"1", "2"}), team("b", {"3"}), team("c", {"4", "2"})});
    REQUIRE(shared.has_value());
    CHECK(shared->first == TeamName("a"));
    CHECK(shared->second == TeamName("c"));
}

TEST_CASE("Credential: the key is read from all spellings of the scheme, and from nothing else")
{
    // Guards against refusing callers whose library writes the scheme in another way, and against taking part of a
    // field, or one of two fields, for a key.
    CHECK(keyOf("Bearer k1") == "k1");
    CHECK(keyOf("bearer k1") == "k1");
    CHECK(keyOf("  BEARER \t  k1 ") == "k1");
    CHECK(keyOf("Bearer " + std::string(64U << 10U, 'k')).size() == 64U << 10U);
    for (const char *malformed :
         {"", " ", "Bearer", "Bearer ", "k1", "Basic k1", "Bearerk1", "Bearer k1 k2", "Bearer=k1"}) {
        CAPTURE(malformed);
        CHECK(parseCredential({malformed}).kind == Credential::Kind::Malformed);
    }
    CHECK(parseCredential({"Bearer k1", "Bearer k1"}).kind == Credential::Kind::Malformed);
    CHECK(parseCredential({}).kind == Credential::Kind::None);
}
