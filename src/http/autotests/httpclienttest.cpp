#include "http/httpclient.h"

#include "http/endpoint.h"
#include "http/httpserver.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <asio/read_until.hpp>
#include <asio/write.hpp>

using namespace Hibiscus;

namespace
{

/**
 * Server that reads one request on a raw socket and sends fixed bytes. It then closes the connection immediately or, if
 * it is silent, when it is destroyed.
 */
class RawServer
{
public:
    explicit RawServer(std::string response, bool silent = false)
        : response_(std::move(response))
        , acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this, silent] { serve(silent); })
    {
    }

    ~RawServer()
    {
        released_ = true;
        thread_.join();
    }

    HostAddress address() const
    {
        return formatEndpoint(acceptor_.local_endpoint());
    }

private:
    void serve(bool silent)
    {
        asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket);
        std::string request;
        asio::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(response_), error);
        while (silent && !released_) {
            std::this_thread::yield();
        }
    }

    std::string response_;
    std::atomic<bool> released_{false};
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

HttpResult sendOnce(const HostAddress &address, HttpCallOptions options = {})
{
    asio::io_context context;
    HttpClient client(context);
    HttpResult result = tl::unexpected(TransportError::ConnectFailed);
    client.send(address, {"GET", "/", {}, ""}, options,
                [&result](HttpResult received) { result = std::move(received); });
    context.run();
    return result;
}

/** Responds with the method, the target and the body of the request. */
class EchoHandler : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpResponder respond) override
    {
        HttpResponse response;
        response.status = 207;
        response.body = request.method + " " + request.target + " " + request.body.text();
        response.headers.add("X-Tag", std::string(request.headers.find("x-tag").value_or("none")));
        respond(std::move(response));
    }
};

/** Counts requests and responds to none. */
class CountingHandler : public HttpHandler
{
public:
    void handle(HttpRequest /*request*/, HttpResponder /*respond*/) override
    {
        ++handled;
    }
    int handled = 0;
};

} // namespace

TEST_CASE("HttpClient: faults of a connection are reported with what may have been sent")
{
    // Guards against a fault after the write that is reported as if nothing had been sent, so that a request that may
    // have run is sent again.
    struct FaultCase {
        const char *name;
        std::string response;
        bool silent;
        TransportError expected;
    };
    const FaultCase cases[] = {
        {"closed without a response", "", false, TransportError::Lost},
        {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false, TransportError::MalformedResponse},
        {"not HTTP", "nonsense\r\n\r\n", false, TransportError::MalformedResponse},
        {"silent", "", true, TransportError::TimedOut},
    };
    for (const FaultCase &testCase : cases) {
        CAPTURE(testCase.name);
        const RawServer server(testCase.response, testCase.silent);
        HttpCallOptions options;
        options.responseTimeout = testCase.silent ? Millis{50} : Millis{60000};
        const HttpResult result = sendOnce(server.address(), options);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error() == testCase.expected);
    }
}

TEST_CASE("HttpClient: a failed connect is reported as nothing sent")
{
    // Guards against a request that is given up as possibly executed though it never left the client.
    asio::io_context context;
    HostAddress closedAddress;
    {
        const asio::ip::tcp::acceptor acceptor(context,
                                               asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        closedAddress = formatEndpoint(acceptor.local_endpoint());
    }
    for (const HostAddress &address : {closedAddress, HostAddress("no-address"), HostAddress("127.0.0.1:99999")}) {
        const HttpResult result = sendOnce(address);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error() == TransportError::ConnectFailed);
    }
}

TEST_CASE("HttpServer: waiting connections are accepted in batches while the event loop is busy")
{
    // Guards against one accept per event loop iteration, which makes callers of a busy process time out.
    constexpr int kConnections = 60;
    constexpr int kIterations = 20;
    asio::io_context context;
    CountingHandler handler;
    HttpServer server(context, {HostAddress("127.0.0.1:0")}, handler);
    const auto address = server.open();
    REQUIRE(address.has_value());
    asio::io_context clientContext;
    std::vector<asio::ip::tcp::socket> clients;
    for (int i = 0; i < kConnections; ++i) {
        clients.emplace_back(clientContext).connect(*parseEndpoint(*address));
        asio::write(clients.back(), asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    // A handler that posts itself again simulates the other work; each run is one iteration of the loop.
    int iterations = 0;
    std::function<void()> work = [&] {
        if (++iterations < kIterations) {
            asio::post(context, work);
            return;
        }
        context.stop();
    };
    asio::post(context, work);
    context.run();
    CHECK(handler.handled == kConnections);
}

TEST_CASE("HttpServer: each response belongs to its request")
{
    // Guards against responses that are swapped between concurrent requests or reused connections.
    asio::io_context context;
    EchoHandler handler;
    HttpServer server(context, {HostAddress("127.0.0.1:0")}, handler);
    auto work = asio::make_work_guard(context);
    std::thread worker([&context] { context.run(); });
    const auto address = server.open();
    REQUIRE(address.has_value());

    asio::io_context clientContext;
    HttpClient client(clientContext);
    int matched = 0;
    constexpr int kRequests = 200;
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < kRequests; ++i) {
            const std::string body(static_cast<std::size_t>(i) * 10, 'b');
            HttpRequest request{"POST", "/" + std::to_string(i), {}, body};
            request.headers.add("X-Tag", std::to_string(i));
            client.send(*address, request, {}, [&matched, i, body](const HttpResult &result) {
                const bool isExpected = result && result->status == 207
                    && result->body == "POST /" + std::to_string(i) + " " + body
                    && result->headers.find("X-Tag") == std::to_string(i);
                matched += isExpected ? 1 : 0;
            });
        }
        clientContext.run();
        clientContext.restart();
    }
    CHECK(matched == 2 * kRequests);
    CHECK(client.idleConnections() > 0);
    server.close();
    work.reset();
    context.stop();
    worker.join();
}

TEST_CASE("HttpServer: a response to HEAD has no body, and the next response follows it")
{
    // Guards against a body that a client reads as the head of its next response.
    asio::io_context context;
    EchoHandler handler;
    HttpServer server(context, {HostAddress("127.0.0.1:0")}, handler);
    auto work = asio::make_work_guard(context);
    std::thread worker([&context] { context.run(); });
    const auto address = server.open();
    REQUIRE(address.has_value());
    asio::io_context clientContext;
    asio::ip::tcp::socket socket(clientContext);
    socket.connect(*parseEndpoint(*address));
    asio::write(socket,
                asio::buffer(std::string("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::string received;
    asio::read_until(socket, asio::dynamic_buffer(received), "GET /b");
    const std::size_t second = received.find("HTTP/1.1", 1);
    CHECK(received.substr(second - 4, 4) == "\r\n\r\n");
    CHECK(received.find("HEAD /a") == std::string::npos);
    CHECK(received.substr(0, second).find("Content-Length") == std::string::npos);
    server.close();
    work.reset();
    context.stop();
    worker.join();
}
