#include "mesh/autotests/testmesh.h"

#include "core/steadyclock.h"

using namespace Hibiscus;

namespace
{

constexpr double kMillisPerSecond = 1000;

/** Requests that a server may get in @p duration under @p limit: the rule that users set. */
double allowedRuns(RequestRate limit, Millis duration)
{
    constexpr double kTolerance = 1.5;
    constexpr double kSlack = 5;
    return kTolerance * limit.perSecond * duration.value / kMillisPerSecond + kSlack;
}

} // namespace

TEST_CASE("MeshDaemon: a server that names a limit gets no more requests than it takes")
{
    // Guards against a server in need that gets its usual share of the load.
    Mesh mesh;
    const SteadyClock clock;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    const RequestRate limit{4};
    mesh.desk->handler.setNotice(HeaderName::kRateLimit, "4");
    CHECK(mesh.call("names the limit").status == 200);
    const int before = mesh.desk->handler.runs;
    const TimePoint started = clock.now();
    for (int i = 0; i < 12; ++i) {
        mesh.call("c" + std::to_string(i));
    }
    CHECK(mesh.desk->handler.runs - before <= allowedRuns(limit, clock.now() - started));
}

TEST_CASE("MeshDaemon: a limit holds after a restart of the daemon beside the server, before the server names it again")
{
    // Guards against all requests that wait for a restarted daemon and reach the server before its first response.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.desk->handler.setNotice(HeaderName::kRateLimit, "1");
    CHECK(mesh.call("names the limit").status == 200);
    mesh.desk->restartDaemon();
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    const SteadyClock clock;
    const TimePoint started = clock.now();
    const int before = mesh.desk->handler.runs;
    // The server responds to none of them.
    std::vector<std::shared_ptr<HttpCall>> calls;
    while (mesh.desk->handler.runs == before) {
        calls.push_back(mesh.sendHeld());
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    for (int i = 0; i < 40; ++i) {
        calls.push_back(mesh.sendHeld());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(mesh.desk->handler.runs - before <= allowedRuns(RequestRate{1}, clock.now() - started));
}
