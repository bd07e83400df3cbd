#include "config/configuration.h"
#include "config/daemonsettings.h"
#include "core/randomsource.h"

#include <span>
#include <string>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** One edit that makes a valid file invalid, and the error line that it must cause. */
struct InvalidEdit {
    const char *original;
    const char *replacement;
    const char *error; ///< Start of the error line, without the file name.
};

const std::string kInventory = R"({
  "domains": [{"name": "a", "region": "r"}],
  "services": ["desk"],
  "servers": [{"name": "desk-1", "service": "desk", "domain": "a", "slots": 4, "connections": 8}]
})";

const std::string kRules = R"({
  "classes": [{"name": "high", "repeatable": false, "deadline": "5 s"},
              {"name": "low", "repeatable": true, "deadline": "800 ms"}],
  "routes": [{"service": "desk", "method": "POST", "pathPrefix": "/holds", "class": "high"}],
  "defaultClass": "low"
})";

const std::string kSettings = R"({
  "server": "desk-1", "domain": "a",
  "callers": "0.0.0.0:8100", "local": "127.0.0.1:8101", "peers": "10.0.0.1:8102", "backend": "127.0.0.1:8103",
  "healthPath": "/health", "platform": "10.0.0.9:8090", "seeds": ["10.0.0.1:8102"], "workers": 2
})";

const InvalidEdit kInventoryEdits[] = {
    {"\"region\": \"r\"}", "\"region\": \"r\",}", R"(line 2, column 43: "}]": expected valid JSON)"},
    {"8}]\n}", "8}]", "line 4, column 98: end of file: expected valid JSON"},
    {"\"desk\"],", "\"desk\"], // names\n /* only",
     "line 6, column 2: end of file: expected valid JSON (syntax error while parsing object key - invalid comment"},
    {R"([{"name": "a", "region": "r"}])", "[]",
     "/domains: []: expected a list in square brackets with at least one entry"},
    {"\"region\": \"r\"", "\"region\": 7", "/domains/0/region: 7: expected a name of 1 to 63 letters"},
    {"\"region\": \"r\"", "\"region\": \"r\", \"zone\": 1", "/domains/0/zone: 1: expected only the keys name, region"},
    {", \"region\": \"r\"", "", "/domains/0/region: missing: expected a name"},
    {"[\"desk\"]", "[\"desk\", \"desk\"]",
     "/services/1: \"desk\": expected a service that is not already defined at /services/0"},
    {"[\"desk\"]", "[\"desk\", \"b/d\"]", "/services/1: \"b/d\": expected a name of 1 to 63 letters"},
    {"[\"desk\"]", "[\"desk\", \"spare\"]", "/services/1: \"spare\": expected a service with at least one server"},
    {"\"region\": \"r\"}", "\"region\": \"r\"}, {\"name\": \"b\", \"region\": \"r\"}",
     "/domains/1/name: \"b\": expected a failure domain with at least one server"},
    {"\"domain\": \"a\"", "\"domain\": \"x\"",
     "/servers/0/domain: \"x\": expected the name of a failure domain in the list: a"},
    {"\"slots\": 4", "\"slots\": 0", "/servers/0/slots: 0: expected an integer from 1 to 100000"},
    {"\"slots\": 4", "\"slots\": 4.5", "/servers/0/slots: 4.5: expected an integer from 1"},
    {"\"slots\": 4", "\"slots\": 18446744073709551615", "/servers/0/slots: 18446744073709551615: expected an integer"},
    {"\"slots\": 4", "\"slots\": 4, \"slots\": 5",
     "/servers/0/slots: \"slots\": expected each key only once in an object"},
    {"\"slots\": 4", "\"slots\": 4, \"weight\": 2", "/servers/0/weight: 2: expected only the keys connections, domain"},
    {"\"connections\": 8", "\"connections\": 3", "/servers/0/connections: 3: expected an integer from 4 to 1000000"},
    {"{\"name\": \"desk-1\"", "7, {\"name\": \"desk-1\"", "/servers/0: 7: expected an object in braces"},
};

const InvalidEdit kRulesEdits[] = {
    {"\"repeatable\": true", "\"repeatable\": \"yes\"", "/classes/1/repeatable: \"yes\": expected true or false"},
    {"\"5 s\"", "5", "/classes/0/deadline: 5: expected a duration such as"},
    {"\"5 s\"", "\"5 h\"", "/classes/0/deadline: \"5 h\": expected a duration such as"},
    {"\"5 s\"", "\"6 min\"", "/classes/0/deadline: \"6 min\": expected a duration such as"},
    {"\"5 s\"", "\"nan s\"", "/classes/0/deadline: \"nan s\": expected a duration such as"},
    {"{\"name\": \"low\"", R"({"name": "high", "repeatable": true, "deadline": "1 s"}, {"name": "low")",
     "/classes/1/name: \"high\": expected a class that is not already defined at /classes/0/name"},
    {"\"deadline\": \"5 s\"", "\"deadline\": \"5 s\", \"retries\": 3", "/classes/0/retries: 3: expected only the keys"},
    {"\"service\": \"desk\"", "\"service\": \"dsk\"",
     "/routes/0/service: \"dsk\": expected the name of a service in the list: desk"},
    {"\"class\": \"high\"", "\"class\": \"top\"",
     "/routes/0/class: \"top\": expected the name of a class in the list: high, low"},
    {"\"POST\"", "\"post\"", "/routes/0/method: \"post\": expected one of *, DELETE, GET"},
    {"\"/holds\"", "\"holds\"", "/routes/0/pathPrefix: \"holds\": expected a path that starts with '/'"},
    {"\"/holds\"", "\"/a/../holds\"", "/routes/0/pathPrefix: \"/a/../holds\": expected a path that starts with '/'"},
    {"\"defaultClass\": \"low\"", "\"defaultClass\": \"none\"",
     "/defaultClass: \"none\": expected the name of a class"},
    {"\"routes\": [", R"("routes": [{"service": "desk", "method": "POST", "pathPrefix": "/holds", "class": "low"}, )",
     "/routes/1/pathPrefix: \"desk POST /holds\": expected a route that is not already defined at /routes/0"},
};

const InvalidEdit kSettingsEdits[] = {
    {"\"0.0.0.0:8100\"", "\"localhost:8100\"", "/callers: \"localhost:8100\": expected an IP address with a port"},
    {"\"0.0.0.0:8100\"", "\"0.0.0.0:70000\"", "/callers: \"0.0.0.0:70000\": expected an IP address with a port"},
    {"\"0.0.0.0:8100\"", "8100", "/callers: 8100: expected a text in quotes"},
    {"127.0.0.1:8101", "10.0.0.1:8101", "/local: \"10.0.0.1:8101\": expected a loopback address"},
    {"127.0.0.1:8101", "127.0.0.1:8100", "/local: \"127.0.0.1:8100\": expected an address other than that of /callers"},
    {"\"peers\": \"10.0.0.1", "\"peers\": \"0.0.0.0",
     "/peers: \"0.0.0.0:8102\": expected the address of one interface"},
    {"127.0.0.1:8103", "127.0.0.1:8101", "/backend: \"127.0.0.1:8101\": expected an address other than the daemon's"},
    {"\"/health\"", "\"health\"", "/healthPath: \"health\": expected a path that starts with '/'"},
    {"[\"10.0.0.1:8102\"]", "[]", "/seeds: []: expected a list in square brackets with at least one entry"},
    {"[\"10.0.0.1:8102\"]", R"(["10.0.0.1:8102", "10.0.0.1:8102"])",
     "/seeds/1: \"10.0.0.1:8102\": expected each seed only once"},
    {"\"workers\": 2", "\"workers\": 0", "/workers: 0: expected an integer from 1 to 64"},
    {"\"workers\": 2", "\"logDirectory\": \"logs\"", "/logDirectory: \"logs\": expected an absolute path"},
    {"\"workers\": 2", "\"limit\": 9", "/limit: 9: expected only the keys backend, callers, domain"},
};

std::string applyEdit(std::string text, const InvalidEdit &edit)
{
    const std::size_t position = text.find(edit.original);
    REQUIRE(position != std::string::npos);
    return text.replace(position, std::string(edit.original).size(), edit.replacement);
}

template<class Parse>
void checkEdits(const std::string &valid, std::span<const InvalidEdit> edits, Parse parse)
{
    const auto unchanged = parse(valid);
    REQUIRE(unchanged.has_value());
    for (const InvalidEdit &edit : edits) {
        CAPTURE(edit.replacement);
        const auto result = parse(applyEdit(valid, edit));
        REQUIRE_FALSE(result.has_value());
        const std::string lines = formatConfigErrors(result.error());
        CAPTURE(lines);
        CHECK(lines.starts_with(std::string("f: ") + edit.error));
        CHECK(result.error().size() == 1);
    }
}

} // namespace

TEST_CASE("parse: each error of a file is reported once, with its location, its value and the allowed values")
{
    // Guards against accepting an invalid value, and against an error message that doesn't show where it is.
    const Inventory inventory = parseInventory(kInventory, "f").value();
    checkEdits(kInventory, kInventoryEdits, [](const std::string &text) { return parseInventory(text, "f"); });
    checkEdits(kRules, kRulesEdits, [&](const std::string &text) { return parseRules(text, "f", inventory); });
    checkEdits(kSettings, kSettingsEdits, [](const std::string &text) { return parseDaemonSettings(text, "f"); });
}

TEST_CASE("parse: all errors of a file are reported at once")
{
    // Guards against reporting only the first error, so that an operator needs one run for each of them.
    const auto result = parseInventory(R"({"domains": [], "services": "x", "servers": [{"slots": "2"}], "y": 1})", "f");
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().size() == 8);
    const auto settings = parseDaemonSettings(R"({"workers": "x", "callers": 1})", "f");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().size() == 10);
}

TEST_CASE("parse: malformed, deeply nested and oversized text is rejected without exhausting the stack or memory")
{
    // Guards against a crash of hibiscusctl or a daemon that reads a damaged file or platform object.
    for (const std::string &text :
         {std::string(500'000, '['), std::string(), std::string("null"), std::string("1e999"), std::string("\xff\xfe"),
          std::string(2'000'000, ' '), std::string("{\"a\": \"\xc3")}) {
        CAPTURE(text.substr(0, 10));
        CHECK_FALSE(parseInventory(text, "f").has_value());
        CHECK_FALSE(parseConfiguration(text).has_value());
        CHECK_FALSE(parseDaemonSettings(text, "f").has_value());
    }
}

TEST_CASE("parse: a damaged object is rejected, or keeps its content when it is stored again")
{
    // Guards against a crash by a damaged platform object, and against values that parse but change when stored again.
    Configuration valid;
    valid.version = ConfigVersion(3);
    valid.inventory = parseInventory(kInventory, "f").value();
    valid.rules = parseRules(kRules, "f", valid.inventory).value();
    valid.audit = {{"c-1", "aiko", "+ server desk-1", 5, ConfigVersion(2), ConfigVersion(3)}};
    const std::string text = serializeConfiguration(valid);
    SeededRandom random(20261204);
    for (int round = 0; round < 5000; ++round) {
        std::string damaged = text;
        for (std::uint64_t i = 0; i <= random.below(3); ++i) {
            const std::size_t position = random.below(damaged.size());
            damaged.replace(position, random.below(4), std::string(random.below(3), static_cast<char>(random.next())));
        }
        if (const auto parsed = parseConfiguration(damaged)) {
            CHECK(parseConfiguration(serializeConfiguration(*parsed)) == *parsed);
        }
    }
}
