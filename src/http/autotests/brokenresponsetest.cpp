#include "http/autotests/responseforms.h"
#include "http/autotests/scriptedserver.h"
#include "http/httpclient.h"

#include <optional>
#include <string>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

struct Outcome {
    HttpResult result = tl::unexpected(TransportError::ConnectFailed);
    std::optional<ResponseFault> fault;
};

Outcome get(asio::io_context &context, HttpClient &client, const HostAddress &address, const std::string &target)
{
    Outcome outcome;
    HttpCallOptions options;
    options.brokenResponse = [&outcome](ResponseFault fault) { outcome.fault = fault; };
    client.send(address, {"GET", target, {}, ""}, options,
                [&outcome](HttpResult result) { outcome.result = std::move(result); });
    context.run();
    context.restart();
    return outcome;
}

} // namespace

TEST_CASE("HttpClient: a connection that carried a broken response is not used again, though its server keeps it open")
{
    // Guards against the rest of a broken response that is read as the response to the next request.
    for (const BrokenResponse &broken : kBrokenResponses) {
        if (broken.reason == responseFaultName(ResponseFault::Truncated)) {
            continue; // The client sees no fault while the server may still send the rest.
        }
        CAPTURE(broken.name);
        ScriptedServer server(broken.bytes, AfterScript::KeepOpen);
        asio::io_context context;
        HttpClient client(context);
        const Outcome outcome = get(context, client, server.address(), ScriptedServer::kScriptedTarget);
        REQUIRE_FALSE(outcome.result.has_value());
        CHECK(outcome.result.error() == TransportError::MalformedResponse);
        REQUIRE(outcome.fault.has_value());
        CHECK(responseFaultName(*outcome.fault) == broken.reason);
        CHECK(client.idleConnections() == 0);
        const Outcome next = get(context, client, server.address(), "/next");
        REQUIRE(next.result.has_value());
        CHECK(next.result->body == "sound");
        CHECK_FALSE(next.fault.has_value());
        CHECK(server.reuses == 0);
    }
}

TEST_CASE("HttpClient: a connection that carried a sound response is used again")
{
    ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", AfterScript::KeepOpen);
    asio::io_context context;
    HttpClient client(context);
    CHECK(get(context, client, server.address(), ScriptedServer::kScriptedTarget).result->body == "whole");
    CHECK(get(context, client, server.address(), "/next").result->body == "sound");
    CHECK(server.reuses == 1);
}
