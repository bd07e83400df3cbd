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
