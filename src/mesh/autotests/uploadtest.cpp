#include "http/autotests/uploadserver.h"
#include "mesh/autotests/loglines.h"
#include "mesh/autotests/testmesh.h"

using namespace Hibiscus;

namespace
{

/** More than the buffers of both ends of a connection hold. */
constexpr std::size_t kLargeBodyBytes = 12U << 20U;

/** Adds a backend server of that behaviour and the daemon beside it to @p mesh. */
std::unique_ptr<UploadServer> addServer(Mesh &mesh, const std::string &name, UploadBehaviour behaviour)
{
    const Host &host = mesh.addHost(name, "desk");
    auto server = std::make_unique<UploadServer>(behaviour, host.settings.backend);
    REQUIRE(mesh.report(host, host.report(1, "ready")) == 200);
    return server;
}

} // namespace

TEST_CASE("MeshDaemon: a request that must run once, and whose server ends in the middle of its body, runs once")
{
    // Guards against a second run of a payment: its server had begun to work on it before it crashed, and the daemon
    // took the body that it couldn't write for a request that had never arrived.
    Mesh mesh;
    const auto first = addServer(mesh, "upload-1", UploadBehaviour::Crash);
    const auto second = addServer(mesh, "upload-2", UploadBehaviour::Crash);
    mesh.awaitStatus(200);
    const HttpResponse response = mesh.upload("pay", kLargeBodyBytes);
    CHECK(response.status == 502);
    CHECK(first->runs + second->runs == 1);
}

TEST_CASE("MeshDaemon: with a single server, such a request isn't answered as not run")
{
    // Guards against a 503, which promises that the request has not run.
    Mesh mesh;
    const auto server = addServer(mesh, "upload-1", UploadBehaviour::Crash);
    mesh.awaitStatus(200);
    CHECK(mesh.upload("pay", kLargeBodyBytes).status == 502);
    CHECK(server->runs == 1);
}

TEST_CASE("MeshDaemon: a caller gets a response that comes before the whole body, though the server crashes then")
{
    // Guards against the same second run where the response had already been given.
    Mesh mesh;
    const auto first = addServer(mesh, "upload-1", UploadBehaviour::RespondEarlyAndCrash);
    const auto second = addServer(mesh, "upload-2", UploadBehaviour::RespondEarlyAndCrash);
    mesh.awaitStatus(200);
    CHECK(mesh.upload("pay", kLargeBodyBytes).status == 200);
    CHECK(first->runs + second->runs == 1);
}

TEST_CASE("MeshDaemon: a part of a response to an upload, cut off by a reset, is not a response")
{
    // Guards against a part of a body that a caller gets as the whole.
    Mesh mesh;
    const auto server = addServer(mesh, "upload-1", UploadBehaviour::RespondInPart);
    mesh.awaitStatus(200);
    const LogLines attempts(LogEvent::AttemptFailed);
    constexpr int kUploads = 5;
    for (int i = 0; i < kUploads; ++i) {
        const std::string name = "pay" + std::to_string(i);
        const HttpResponse response = mesh.upload(name, kLargeBodyBytes);
        CHECK(response.status == 502);
        CHECK(response.body.find("part") == std::string::npos);
        CHECK(attempts.has("\"" + name + "\"", "\"reason\":\"reset\""));
    }
    CHECK(server->runs == kUploads);
}
