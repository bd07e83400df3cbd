#include "http/autotests/responseforms.h"
#include "http/autotests/scriptedserver.h"
#include "mesh/autotests/loglines.h"
#include "mesh/autotests/testmesh.h"

#include <string>

using namespace Hibiscus;

namespace
{

constexpr int kStatusInternalError = 500;
constexpr int kStatusBadGateway = 502;
constexpr const char *kSoundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/** Backend server of the mesh that responds with fixed bytes, and the daemon beside it. */
class ScriptedHost
{
public:
    ScriptedHost(Mesh &mesh, const std::string &name, const std::string &bytes)
        : host_(mesh.addHost(name, "desk"))
        , server(bytes, AfterScript::Close, host_.settings.backend)
    {
        REQUIRE(mesh.report(host_, host_.report(1, "ready")) == 200);
    }

private:
    const Host &host_;

public:
    ScriptedServer server;
};

HttpRequest scriptedRequest(const std::string &name, const std::string &host)
{
    HttpRequest request{"GET", ScriptedServer::kScriptedTarget, {}, ""};
    request.host = host;
    request.headers.add(kRequestField, name);
    return request;
}

/** Waits until the front daemon uses both servers; the timeout of the test limits the wait. */
void awaitBoth(Mesh &mesh, const ScriptedHost &first, const ScriptedHost &second)
{
    while (first.server.runs == 0 || second.server.runs == 0) {
        mesh.send(mesh.front->settings.callers, scriptedRequest("wait", "h"));
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

/** Completes enough requests for the service's retry budget to allow a retry. */
void earnRetry(Mesh &mesh)
{
    constexpr int kCompletions = 20;
    for (int i = 0; i < kCompletions; ++i) {
        CHECK(mesh.call("probe").status == 200);
    }
}

std::string field(const std::string &name, const std::string &value)
{
    return "\"" + name + "\":\"" + value + "\"";
}

} // namespace

TEST_CASE("MeshDaemon: a broken response of a server is answered with 502, and its request runs once if it must")
{
    // Guards against a broken response that reaches a caller as the server's, and against a second run of a request
    // whose only trace is such a response.
    Mesh mesh;
    ScriptedHost first(mesh, "scripted-1", kSoundResponse);
    ScriptedHost second(mesh, "scripted-2", kSoundResponse);
    awaitBoth(mesh, first, second);
    LogLines attempts(LogEvent::AttemptFailed);
    LogLines requests(LogEvent::RequestFailed);
    for (const BrokenResponse &broken : kBrokenResponses) {
        CAPTURE(broken.name);
        first.server.setBytes(broken.bytes);
        second.server.setBytes(broken.bytes);
        const int runsBefore = first.server.runs + second.server.runs;
        const HttpResponse response = mesh.send(mesh.front->settings.callers, scriptedRequest(broken.name, kOnceHost));
        CHECK(response.status == kStatusBadGateway);
        CHECK(response.body.find("part") == std::string::npos);
        CHECK(first.server.runs + second.server.runs - runsBefore == 1);
        CHECK(attempts.has(field("request", broken.name), field("reason", broken.reason)));
        CHECK(attempts.has(field("request", broken.name), field("kind", "bad-answer")));
        CHECK(requests.has(field("request", broken.name), field("kind", "bad-answer")));
    }
}

TEST_CASE("MeshDaemon: an idempotent request whose server sends a broken response is tried at another server")
{
    Mesh mesh;
    ScriptedHost broken(mesh, "scripted-1", kSoundResponse);
    ScriptedHost sound(mesh, "scripted-2", kSoundResponse);
    awaitBoth(mesh, broken, sound);
    for (const BrokenResponse &response : kBrokenResponses) {
        CAPTURE(response.name);
        broken.server.setBytes(response.bytes);
        earnRetry(mesh);
        const int runsBefore = broken.server.runs;
        // The front chooses the servers by their load, so that one request may not meet the broken one.
        while (broken.server.runs == runsBefore) {
            CHECK(mesh.send(mesh.front->settings.callers, scriptedRequest(response.name, "h")).body == "whole");
        }
    }
}

TEST_CASE("MeshDaemon: a sound response of any form reaches the caller, from a server that must run the request once")
{
    Mesh mesh;
    ScriptedHost host(mesh, "scripted-1", kSoundResponse);
    mesh.awaitStatus(200);
    for (const std::string &bytes : kSoundResponses) {
        CAPTURE(bytes);
        host.server.setBytes(bytes);
        const HttpResponse response = mesh.send(mesh.front->settings.callers, scriptedRequest("sound", kOnceHost));
        CHECK(response.status == 200);
        CHECK(response.body == "whole");
    }
}

TEST_CASE("MeshDaemon: a response to HEAD has no body, whatever its head states")
{
    // Guards against waiting for a body that never comes, and against one that a client takes for its next response.
    Mesh mesh;
    ScriptedHost host(mesh, "scripted-1", kOk + "Content-Length: 5\r\nTrace: 1\r\n\r\n");
    mesh.awaitStatus(200);
    HttpRequest request = scriptedRequest("head", kOnceHost);
    request.method = "HEAD";
    request.headers.add(kTimeoutField, "1000");
    const HttpResponse response = mesh.send(mesh.front->settings.callers, request);
    CHECK(response.status == 200);
    CHECK(response.headers.find("Trace") == "1");
    CHECK(response.body.empty());
}

TEST_CASE("MeshDaemon: a broken response of another daemon reaches no caller")
{
    // Guards against a status such as 000 that a daemon takes from another one, whose responses it trusts.
    Mesh mesh;
    ScriptedServer daemon(kSoundResponse, AfterScript::Close, HostAddress("127.0.0.1:0"),
                          "/svc/desk" + std::string(ScriptedServer::kScriptedTarget));
    ServerRegistration registration;
    registration.name = ServerName("scripted-1");
    registration.service = ServiceName("desk");
    registration.domain = FailureDomainName("a");
    registration.daemon = daemon.address();
    registration.incarnation = Incarnation(7);
    registration.slots = kSlots;
    REQUIRE(mesh.store->create(std::string(kRegistrationKind) + "/scripted-1", serializeRegistration(registration))
                .has_value());
    const auto send = [&mesh](const std::string &name) {
        HttpRequest request = scriptedRequest(name, kOnceHost);
        request.headers.add(kTimeoutField, "500");
        return mesh.send(mesh.front->settings.callers, std::move(request));
    };
    while (daemon.runs == 0) {
        send("wait");
    }
    for (const BrokenResponse &broken : kBrokenResponses) {
        CAPTURE(broken.name);
        daemon.setBytes(broken.bytes);
        const int runsBefore = daemon.runs;
        const HttpResponse response = send(broken.name);
        CHECK(daemon.runs == runsBefore + 1);
        // The daemon states no outcome when it is asked for it, either.
        CHECK(response.status == kStatusInternalError);
        CHECK(response.body.find("part") == std::string::npos);
    }
}
