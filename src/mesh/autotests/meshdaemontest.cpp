#include "mesh/autotests/testmesh.h"

#include "directory/serverregistration.h"
#include "discovery/registrationwriter.h"

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

TEST_CASE("MeshDaemon: a registered server that its daemon does not know is soon chosen no more")
{
    // Guards against a server that was lost for good while its daemon was restarted: the daemon refuses what is
    // addressed to it at once, which must not make it look like a fast server.
    Mesh mesh;
    const ServerRegistration lost{ServerName("desk-0"),
                                  ServiceName("desk"),
                                  FailureDomainName("a"),
                                  mesh.desk->settings.peers,
                                  Incarnation(9),
                                  2000,
                                  2000,
                                  kSlots,
                                  ServerState::Ready};
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    REQUIRE(mesh.store->create(registrationKey(lost.name), serializeRegistration(lost)).has_value());
    const auto attempts = [&mesh] { return mesh.counter(*mesh.front, "hibiscus_attempts_total"); };
    // Until the other daemon has read the entry and tried the server for the first time.
    int before = 0;
    do {
        before = attempts();
        CHECK(mesh.call("first").status == 200);
    } while (attempts() - before <= 1);
    constexpr int kCalls = 60;
    before = attempts();
    for (int i = 0; i < kCalls; ++i) {
        CHECK(mesh.call("c" + std::to_string(i)).status == 200);
    }
    // One attempt in 250 ms; without the rest about every second call would cost one more.
    CHECK(attempts() - before < kCalls + kCalls / 5);
}

TEST_CASE("MeshDaemon: the registration of a server that refuses connections for long is withdrawn")
{
    // Guards against entries of servers that are lost for good: no leave notice removes them.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    REQUIRE(mesh.store->get("backend-servers/desk-1").has_value());
    mesh.desk->stopServer();
    CHECK(mesh.call("first").status != 200);
    while (mesh.store->get("backend-servers/desk-1").has_value()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    // A server that only restarted late reports itself and is served again.
    mesh.desk->startServer();
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    mesh.awaitStatus(200);
}
