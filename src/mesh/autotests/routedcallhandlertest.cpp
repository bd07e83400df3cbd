#include "mesh/autotests/testmesh.h"

using namespace Hibiscus;

TEST_CASE("RoutedCallHandler: a request without an answer ends at its deadline, and its run with it")
{
    // Guards against callers that are held beyond their time, and against servers that work on for nobody.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.await(200);
    mesh.timeout = "150";
    std::promise<int> status;
    mesh.sendHeld([&](const HttpResult &result) { status.set_value(result ? result->status : 0); });
    CHECK(status.get_future().get() == 504);
    while (!mesh.desk->handler.heldClosed) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("RoutedCallHandler: calls of a server for a request that was cancelled are refused")
{
    // Guards against work that goes on below a request whose caller has left, since its server has not noticed yet.
    Mesh mesh;
    mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")});
    mesh.await(200);
    const std::string child = std::string(kHeldRequest) + ".1";
    const std::shared_ptr<HttpCall> held = mesh.sendHeld();
    while (!mesh.desk->handler.holds) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(mesh.callFrom(*mesh.desk, child).status == 200);
    held->cancel();
    while (!mesh.desk->handler.heldClosed) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.callFrom(*mesh.desk, child).status == 504);
    CHECK(mesh.desk->handler.runs == runs);
    CHECK(mesh.callFrom(*mesh.desk, "stranger.1").status == 200);
}
