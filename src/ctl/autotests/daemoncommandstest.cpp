#include "ctl/autotests/testsupport.h"
#include "ctl/draincommand.h"
#include "ctl/statuscommand.h"
#include "directory/serverregistration.h"

#include <deque>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** Daemon that returns statuses from a list and repeats the last one. An empty text stands for a lost response. */
class ScriptedDaemon : public DaemonClient
{
public:
    std::deque<std::string> statuses;
    bool refuses = false;
    int drains = 0;

    tl::expected<std::string, DaemonError> status(const HostAddress &) override
    {
        const std::string text = statuses.front();
        if (statuses.size() > 1) {
            statuses.pop_front();
        }
        if (text.empty()) {
            return tl::unexpected(DaemonError{false, "no answer"});
        }
        return text;
    }

    tl::expected<void, DaemonError> drain(const HostAddress &) override
    {
        ++drains;
        if (refuses) {
            return tl::unexpected(DaemonError{true, "status 403"});
        }
        return {};
    }
};

std::string status(bool draining, int inFlight, const std::string &server = "desk-1")
{
    return R"({"server": ")" + server + R"(", "domain": "a", "draining": )" + (draining ? "true" : "false")
        + R"(, "inFlight": )" + std::to_string(inFlight) + R"(, "configVersion": 3, "quarantined": []})";
}

const HostAddress kDaemon("127.0.0.1:8100");

} // namespace

TEST_CASE("drain: success means that no request was in flight while the daemon was draining")
{
    // Guards against a host being taken out of service while requests are running there.
    struct Case {
        std::deque<std::string> statuses;
        bool refuses;
        ExitCode code;
        int drains;
    };
    const std::string idle = status(false, 0);
    for (const Case &c : {
             Case{{idle, idle, status(true, 2), status(true, 1), status(true, 0)}, false, ExitCode::Success, 1},
             Case{{idle, idle, idle, status(true, 0)}, false, ExitCode::Success, 2},
             Case{{idle, idle, status(true, 2), "", status(true, 0)}, false, ExitCode::Success, 1},
             Case{{idle, idle, status(true, 2), ""}, false, ExitCode::Unknown, 1},
             Case{{idle, idle, status(true, 2)}, false, ExitCode::Pending, 1},
             Case{{idle, ""}, false, ExitCode::Unavailable, 0},
             Case{{""}, false, ExitCode::Unavailable, 0},
             Case{{"{}"}, false, ExitCode::Invalid, 0},
             Case{{R"({"server": "desk-1", "draining": true, "inFlight": "0"})"}, false, ExitCode::Invalid, 0},
             Case{{status(false, 0, "desk-2")}, false, ExitCode::Usage, 0},
         }) {
        CommandFixture fixture;
        ScriptedDaemon daemon;
        daemon.statuses = c.statuses;
        const CommandResult result =
            DrainCommand(daemon, fixture.waitContext).run(ServerName("desk-1"), kDaemon, Millis{60'000});
        CAPTURE(joinLines(result));
        CHECK(result.code == c.code);
        CHECK(daemon.drains == c.drains);
    }
    CommandFixture fixture;
    ScriptedDaemon daemon;
    daemon.statuses = {idle};
    daemon.refuses = true;
    CHECK(DrainCommand(daemon, fixture.waitContext).run(ServerName("desk-1"), kDaemon, Millis{1000}).code
          == ExitCode::Invalid);
}

TEST_CASE("status: the platform part shows the version and every registered server")
{
    // Guards against registered servers that are not shown, and against one invalid entry that hides the others.
    CommandFixture fixture;
    CHECK(StatusCommand::runPlatform(fixture.store).lines[0] == "the platform holds no configuration yet");
    REQUIRE(ApplyCommand(fixture.store, fixture.waitContext).run(exampleRequest(10, {})).code == ExitCode::Success);
    const ServerRegistration desk{ServerName("desk-1"),
                                  ServiceName("desk"),
                                  FailureDomainName("a"),
                                  HostAddress("10.0.0.1:80"),
                                  Incarnation(5),
                                  1,
                                  2,
                                  10,
                                  ServerState::Draining};
    REQUIRE(fixture.store.create("backend-servers/desk-1", serializeRegistration(desk)).has_value());
    REQUIRE(fixture.store.create("backend-servers/forged", "{}").has_value());
    const CommandResult platform = StatusCommand::runPlatform(fixture.store);
    CHECK(platform.code == ExitCode::Success);
    CHECK(platform.details["version"] == 1);
    REQUIRE(platform.details["servers"].size() == 2);
    CHECK(platform.details["servers"][0]["state"] == "draining");
    CHECK(platform.details["servers"][1]["readable"] == false);
    ScriptedDaemon daemon;
    daemon.statuses = {status(true, 4), ""};
    const CommandResult daemons = StatusCommand::runDaemons(daemon, {kDaemon, kDaemon});
    CHECK(daemons.code == ExitCode::Unavailable);
    CHECK(daemons.lines.at(0).find("version 3, 4 in flight, draining") != std::string::npos);
    const CommandResult both = StatusCommand::merge(platform, daemons);
    CHECK(both.code == ExitCode::Unavailable);
    CHECK(both.details["daemons"][0]["status"].contains("quarantined"));
    fixture.store.setFaults({true, {}, 0});
    CHECK(StatusCommand::runPlatform(fixture.store).code == ExitCode::Unavailable);
}
