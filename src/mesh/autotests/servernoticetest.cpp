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

TEST_CASE("MeshDaemon: a server that says in a response that it leaves gets no more requests from any daemon")
{
    // Guards against requests to a server whose heartbeat with the same news is late or lost.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.desk->handler.setNotice(HeaderName::kLeaving, "1");
    CHECK(mesh.call("learns that the server leaves").status == 200);
    const int before = mesh.desk->handler.runs;
    // A heartbeat that was delayed, from before the server began to leave.
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    CHECK(mesh.call("late").status == 503);
    CHECK(mesh.callFrom(*mesh.desk, "late, beside the server").status == 503);
    CHECK(mesh.desk->handler.runs == before);
}

TEST_CASE("MeshDaemon: a server that leaves is not used again after a restart of its daemon, also without the store")
{
    // Guards against a restarted daemon that takes a delayed heartbeat for the present state of the server.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    const auto stored = mesh.store->get("backend-servers/desk-1");
    REQUIRE(stored.has_value());
    mesh.desk->handler.setNotice(HeaderName::kLeaving, "1");
    CHECK(mesh.call("learns that the server leaves").status == 200);
    for (int i = 0; i < 400 && mesh.store->get("backend-servers/desk-1")->value == stored->value; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    // The store is left with the entry from before, as after a write that was lost.
    const auto changed = mesh.store->get("backend-servers/desk-1");
    REQUIRE(mesh.store->update("backend-servers/desk-1", stored->value, changed->version).has_value());
    mesh.desk->restartDaemon();
    const int before = mesh.desk->handler.runs;
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    for (int i = 0; i < 20; ++i) {
        CHECK(mesh.call("late").status == 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(mesh.desk->handler.runs == before);
}
