#include "mesh/autotests/testmesh.h"

using namespace Hibiscus;

TEST_CASE("CheckInHandler: a leave notice of an unknown server is not acknowledged")
{
    // Guards against new work for a server whose leave was acknowledged: a delayed heartbeat could still make a server
    // that was unknown at that time the local one.
    Mesh mesh;
    CHECK(mesh.report(*mesh.desk, "leave desk-1") == 400);
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    CHECK(mesh.report(*mesh.desk, "leave other-1") == 400);
    CHECK(mesh.call("next").status == 200);
    CHECK(mesh.report(*mesh.desk, "leave desk-1") == 200);
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.call("late").status == 503);
    CHECK(mesh.desk->handler.runs == runs);
}

TEST_CASE("CheckInHandler: a report that can't be handled ends neither the daemon nor the requests of others")
{
    // Guards against one report of another writer that ends the daemon and cuts off all its callers.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    std::promise<HttpResult> held;
    const auto call = mesh.sendHeld([&](HttpResult result) { held.set_value(std::move(result)); });
    while (!mesh.desk->handler.isHolding) {
        std::this_thread::yield();
    }
    const int failedBefore = mesh.counter(*mesh.desk, "hibiscus_failed_messages_total");
    // The stand-in of the protocol makes an id of any text, which throws.
    CHECK(mesh.report(*mesh.desk, "i-\xff\xfe desk 127.0.0.1:1 1 ready") == 0);
    CHECK(mesh.report(*mesh.front, "i-\xff\xfe desk 127.0.0.1:1 1 ready") == 0);
    CHECK(mesh.counter(*mesh.desk, "hibiscus_failed_messages_total") == failedBefore + 2);
    CHECK(mesh.call("next").status == 200);
    CHECK_FALSE(mesh.desk->handler.heldConnectionClosed);
    call->cancel();
    held.get_future().wait();
}

TEST_CASE("CheckInHandler: a server that has left gets no work after its daemon restarted and a late heartbeat came")
{
    // Guards against requests to a server whose leave was acknowledged: only the daemon beside it knew, and forgot.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    REQUIRE(mesh.report(*mesh.desk, "leave desk-1 " + std::to_string(kServerStart)) == 200);
    mesh.awaitLeft(*mesh.front, "desk-1");
    const int before = mesh.desk->handler.runs;
    const auto sendsLateHeartbeat = [&] {
        CHECK(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
        for (int i = 0; i < 30; ++i) {
            CHECK(mesh.call("late").status == 503);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        CHECK(mesh.desk->handler.runs == before);
    };
    SUBCASE("the daemon beside it restarts")
    {
        mesh.desk->restartDaemon();
        sendsLateHeartbeat();
    }
    SUBCASE("all daemons restart")
    {
        mesh.desk->restartDaemon();
        mesh.front->restartDaemon();
        sendsLateHeartbeat();
    }
    SUBCASE("the daemon restarts and the store has lost the news")
    {
        const auto stored = mesh.store->get("backend-servers/desk-1");
        REQUIRE(stored.has_value());
        REQUIRE(mesh.store->remove("backend-servers/desk-1", stored->version).has_value());
        mesh.desk->restartDaemon();
        sendsLateHeartbeat();
    }
    // A later process of the same name is in use at once.
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(1, "ready") + " " + std::to_string(kServerStart + 1)) == 200);
    mesh.awaitStatus(200);
}

TEST_CASE("CheckInHandler: a server that has left gets no work if its daemon restarts and stale reads don't show it")
{
    // Guards against requests to a server whose leave or drain was acknowledged: its daemon restarted, read the servers
    // from a replica that lagged behind, and took a late heartbeat for a start.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.store->setFaults({false, {}, 0, true});
    const auto restart = [&] {
        mesh.desk->restartDaemon();
        SUBCASE("only the daemon beside it restarts")
        {
        }
        SUBCASE("all daemons restart")
        {
            mesh.front->restartDaemon();
        }
    };
    SUBCASE("it has left")
    {
        REQUIRE(mesh.report(*mesh.desk, "leave desk-1 " + std::to_string(kServerStart)) == 200);
        restart();
    }
    SUBCASE("it drains")
    {
        REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(3, "draining")) == 200);
        restart();
    }
    const int before = mesh.desk->handler.runs;
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    for (int i = 0; i < 30; ++i) {
        CHECK(mesh.call("late").status == 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(mesh.desk->handler.runs == before);
    // A later process of the same name is in use at once.
    mesh.store->setFaults({});
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(1, "ready") + " " + std::to_string(kServerStart + 1)) == 200);
    mesh.awaitStatus(200);
}

TEST_CASE("CheckInHandler: a daemon that restarts without the store doesn't take another daemon's old copy for proof")
{
    // Guards against requests to a server whose leave was acknowledged: the store went away before the other daemons
    // learned of it, and the restarted daemon had its directory from one of them.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.front, mesh.front->report(1, "ready")) == 200);
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.store->setFaults({false, {}, 0, true});
    REQUIRE(mesh.report(*mesh.desk, "leave desk-1 " + std::to_string(kServerStart)) == 200);
    mesh.store->setFaults({true, {}, 0, true});
    const int before = mesh.desk->handler.runs;
    mesh.desk->restartDaemon();
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    const auto isReady = [&] { return mesh.send(mesh.desk->settings.ready, {"GET", "/", {}, ""}).status == 200; };
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!isReady() && std::chrono::steady_clock::now() < end) {
        CHECK(mesh.call("late").status == 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(isReady());
    for (int i = 0; i < 30; ++i) {
        CHECK(mesh.call("late").status == 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(mesh.desk->handler.runs == before);
    mesh.store->setFaults({});
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(1, "ready") + " " + std::to_string(kServerStart + 1)) == 200);
    mesh.awaitStatus(200);
}

TEST_CASE("CheckInHandler: a late leave notice of an earlier process changes nothing")
{
    // Guards against a sound server that gets no requests any more because its predecessor's notice was late.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    CHECK(mesh.report(*mesh.desk, "leave desk-1 " + std::to_string(kServerStart - 1)) == 200);
    for (int i = 0; i < 20; ++i) {
        CHECK(mesh.call("next").status == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

TEST_CASE("CheckInHandler: a leave notice that is repeated is acknowledged again")
{
    // Guards against a server that waits in vain for the acknowledgement of its end, since the first one was late.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    CHECK(mesh.report(*mesh.desk, "leave desk-1") == 200);
    CHECK(mesh.report(*mesh.desk, "leave desk-1") == 200);
    // A delayed heartbeat still puts it in no use again.
    CHECK(mesh.report(*mesh.desk, mesh.desk->report(2, "ready")) == 200);
    CHECK(mesh.call("late").status == 503);
}
