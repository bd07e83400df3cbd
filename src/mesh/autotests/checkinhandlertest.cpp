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
