#include "mesh/autotests/testmesh.h"

#include <csignal>

using namespace Hibiscus;

TEST_CASE("MeshDaemon: a request goes to the server that registered itself, and to none that drains")
{
    // Guards against the loss of any part of the path from the check-in over the store to the other daemon and back,
    // and against new work for a server whose drain was acknowledged.
    Mesh mesh;
    CHECK(mesh.call("early").status == 503);
    CHECK(mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, "garbage"}).status == 400);
    CHECK(mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")}).status == 200);
    mesh.await(200);
    const HttpResponse answer = mesh.call("first");
    CHECK(answer.status == 200);
    CHECK(answer.body == "first");
    CHECK(mesh.send(mesh.front->settings.ready, {"GET", "/ready", {}, ""}).status == 200);

    CHECK(mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(2, "draining")}).status == 200);
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.call("late").status == 503);
    CHECK(mesh.desk->handler.runs == runs);
}

TEST_CASE("MeshDaemon: unknown routes and a missing configuration are told apart")
{
    // Guards against a 404 of a daemon that merely knows no configuration yet.
    Mesh mesh;
    mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")});
    mesh.await(200);
    HttpRequest request{"GET", "/hold", {}, ""};
    request.host = "other";
    CHECK(mesh.send(mesh.front->settings.callers, request).status == 404);
}

TEST_CASE("MeshDaemon: a draining daemon answers what reaches it, and then ends")
{
    // Guards against requests that are lost on connections which callers go on using until they notice the drain, and
    // against a daemon that never ends.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.await(200);
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

TEST_CASE("MeshDaemon: a server works on at first while its daemon leaves, and gets nothing later")
{
    // Guards against a rolling restart that takes each server away for the whole time of its daemon's drain.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.await(200);
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

TEST_CASE("MeshDaemon: a hang-up signal ends no request")
{
    // Guards against the default action of SIGHUP, which ends the process.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.await(200);
    std::raise(SIGHUP);
    CHECK(mesh.call("next").status == 200);
}
