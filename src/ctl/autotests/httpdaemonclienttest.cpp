#include "ctl/httpdaemonclient.h"

#include "http/autotests/responseforms.h"
#include "http/autotests/scriptedserver.h"

#include <thread>

#include <doctest/doctest.h>
#include <httplib.h>

using namespace Hibiscus;

TEST_CASE("HttpDaemonClient: an error status is distinguished from no response")
{
    // Guards against a drain that is reported as refused although it may have begun.
    httplib::Server server;
    server.Get("/status", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("{}", "application/json");
    });
    server.Post("/drain", [](const httplib::Request &, httplib::Response &response) { response.status = 403; });
    const int port = server.bind_to_any_port("127.0.0.1");
    REQUIRE(port > 0);
    std::thread thread([&server] { server.listen_after_bind(); });
    const HostAddress address("127.0.0.1:" + std::to_string(port));
    HttpDaemonClient client;
    CHECK(client.status(address).value() == "{}");
    CHECK(client.drain(address).error().responded);
    server.stop();
    thread.join();
    CHECK_FALSE(client.status(address).error().responded);
    CHECK_FALSE(client.drain(address).error().responded);
    CHECK_FALSE(client.status(HostAddress("nowhere")).error().responded);
}

TEST_CASE("HttpDaemonClient: a broken response of a daemon is none")
{
    // Guards against an operator who is told that a daemon drains because of bytes that are no response.
    for (const BrokenResponse &broken : kBrokenResponses) {
        CAPTURE(broken.name);
        const HostAddress any("127.0.0.1:0");
        HttpDaemonClient client;
        const ScriptedServer statusServer(broken.bytes, AfterScript::Close, any, "/status");
        CHECK_FALSE(client.status(statusServer.address()).has_value());
        const ScriptedServer drainServer(broken.bytes, AfterScript::Close, any, "/drain");
        const auto drained = client.drain(drainServer.address());
        REQUIRE_FALSE(drained.has_value());
        // The daemon may have begun to drain.
        CHECK_FALSE(drained.error().responded);
    }
}
