#include "ctl/routecheckcommand.h"

#include <sstream>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** Reads "<version> <timeout in ms>", a configuration with the route "browse". */
class TestDecoder : public ConfigurationDecoder
{
public:
    std::string key() const override
    {
        return "config/main";
    }
    tl::expected<RouteConfiguration, std::string> decode(const std::string &value) const override
    {
        std::istringstream text(value.substr(value.find('#') + 1));
        std::uint64_t version = 0;
        double timeout = 0;
        if (!(text >> version >> timeout)) {
            return tl::unexpected(std::string("route browse: not a number"));
        }
        RouteConfiguration configuration;
        configuration.version = ConfigVersion(version);
        Route route;
        route.name = "browse";
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = {{ServiceName("desk"), 1}};
        route.timeout = Millis{timeout};
        route.latencyTarget = Millis{500};
        configuration.routes = {route};
        configuration.services = {{ServiceName("desk"), "/health", 10}};
        return configuration;
    }
};

} // namespace

TEST_CASE("RouteCheckCommand: exit codes and lines tell errors, findings and differences")
{
    const TestDecoder decoder;
    const RouteCheckCommand command(decoder);
    const NamedText sound{"new.json", "4 1000"};

    CHECK(command.run(sound, std::nullopt).code == ExitCode::Success);
    CHECK(command.run({"new.json", "four"}, std::nullopt).code == ExitCode::Invalid);

    const CommandResult finding = command.run({"new.json", "{\n\n  \"browse\": 1 #4 400"}, std::nullopt);
    CHECK(finding.code == ExitCode::Invalid);
    REQUIRE(finding.lines.size() == 1);
    CHECK(finding.lines[0].starts_with("new.json:3: route browse: contradiction: "));
    CHECK(finding.details["findings"][0]["line"] == 3);

    const CommandResult changed = command.run(sound, NamedText{"config/main", "3 2000"});
    CHECK(changed.code == ExitCode::Success);
    CHECK(changed.details["changes"].size() == 1);
    CHECK(changed.details["losses"].size() == 1);
    CHECK(changed.details["inForce"] == 3);

    CHECK(command.run(sound, NamedText{"config/main", "4 1000"}).code == ExitCode::Invalid);
    CHECK(command.run(sound, NamedText{"config/main", "?"}).code == ExitCode::Unavailable);
}
