#include "mesh/autotests/testmesh.h"

#include <csignal>

using namespace Hibiscus;

TEST_CASE("MeshDaemon: a request goes to the server that registered itself, but not once it drains")
{
    // Guards against a break anywhere on the path from the check-in through the store to another daemon and back, and
    // against new work for a server whose drain was acknowledged.
    Mesh mesh;
    CHECK(mesh.call("early").status == 503);
    CHECK(mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, "garbage"}).status == 400);
    CHECK(mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")}).status == 200);
    mesh.awaitStatus(200);
    const HttpResponse response = mesh.call("first");
    CHECK(response.status == 200);
    CHECK(response.body == "first");
    CHECK(mesh.send(mesh.front->settings.ready, {"GET", "/ready", {}, ""}).status == 200);

    CHECK(mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(2, "draining")}).status == 200);
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.call("late").status == 503);
    CHECK(mesh.desk->handler.runs == runs);
}

TEST_CASE("MeshDaemon: a request that matches no route gets 404")
{
    // Guards against callers that can't tell a request that matches no route from a daemon that has no configuration
    // yet, which responds with 503.
    Mesh mesh;
    mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")});
    mesh.awaitStatus(200);
    HttpRequest request{"GET", "/hold", {}, ""};
    request.host = "other";
    CHECK(mesh.send(mesh.front->settings.callers, request).status == 404);
}

TEST_CASE("MeshDaemon: a draining daemon serves the requests that reach it, and then ends")
{
    // Guards against requests that are lost on connections that callers use until they notice the drain, and against a
    // daemon that never ends.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.front->drain();
    while (mesh.send(mesh.front->settings.ready, {"GET", "/ready", {}, ""}).status == 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(mesh.call("late").status == 200);
    }
    while (!mesh.front->ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

TEST_CASE("MeshDaemon: the server beside a draining daemon gets requests at first, and none later")
{
    // Guards against a rolling restart that makes each server unavailable for the whole drain of its daemon.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.desk->drain();
    while (mesh.send(mesh.desk->settings.ready, {"GET", "/ready", {}, ""}).status == 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(mesh.call("early").status == 200);
    while (mesh.call("waits").status == 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.call("late").status == 503);
    CHECK(mesh.desk->handler.runs == runs);
}

TEST_CASE("MeshDaemon: SIGHUP does not end the daemon")
{
    // Guards against the default action of the signal, which ends the process.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    std::raise(SIGHUP);
    CHECK(mesh.call("next").status == 200);
}
