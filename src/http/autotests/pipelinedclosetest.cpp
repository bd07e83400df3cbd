#include "http/endpoint.h"
#include "http/httphandler.h"
#include "http/httpserver.h"

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

using namespace Hibiscus;

namespace
{

/** More than the buffers of both ends of a connection hold. */
constexpr std::size_t kLargeBodyBytes = 12U << 20U;

/** Holds all requests until the test responds. The targets of the requests are their names. */
class HoldingHandler : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpResponder respond) override
    {
        const std::lock_guard lock(mutex_);
        names_.push_back(request.target);
        responders_.push_back(std::move(respond));
        received_.notify_all();
    }

    /** Waits until @p count requests were received; false if they weren't in time. */
    bool awaitRequests(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        return received_.wait_for(lock, std::chrono::seconds(10), [&] { return names_.size() >= count; });
    }

    /** Responds to the request of @p index with its name, or with a body of @p bodyBytes. */
    void respond(std::size_t index, bool closesConnection, std::size_t bodyBytes = 0)
    {
        HttpResponder responder;
        HttpResponse response;
        {
            const std::lock_guard lock(mutex_);
            responder = responders_.at(index);
            response = {200, {}, bodyBytes > 0 ? std::string(bodyBytes, 'x') : names_.at(index)};
        }
        response.closesConnection = closesConnection;
        responder(std::move(response));
    }

    std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return names_.size();
    }

private:
    std::mutex mutex_;
    std::condition_variable received_;
    std::vector<std::string> names_;
    std::vector<HttpResponder> responders_;
};

std::string request(int number)
{
    return "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string requests(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += request(number);
    }
    return text;
}

/** A server that holds its requests, and one client of it. */
class Pipeline
{
public:
    Pipeline()
        : work_(asio::make_work_guard(context_))
        , client_(context_)
    {
        const auto address = server.open();
        REQUIRE(address.has_value());
        thread_ = std::thread([this] { context_.run(); });
        client_.connect(*parseEndpoint(*address));
    }
    ~Pipeline()
    {
        context_.stop();
        thread_.join();
    }

    void send(const std::string &text)
    {
        asio::write(client_, asio::buffer(text));
    }

    /** Sends requests that are not to be passed on, and gives the server time to do it nevertheless. */
    void sendLate(const std::string &text)
    {
        send(text);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }

    /** Reads until the end of the connection; "reset" stands for one that isn't orderly. */
    std::string readAll()
    {
        std::string text;
        std::vector<char> piece(1U << 16U);
        asio::error_code error;
        while (!error) {
            text.append(piece.data(), client_.read_some(asio::buffer(piece), error));
        }
        return error == asio::error::eof ? text : text + "reset";
    }

    HoldingHandler handler;

private:
    static HttpServerSettings settings()
    {
        HttpServerSettings settings{HostAddress("127.0.0.1:0")};
        // They end the wait of the test for a connection that is never closed.
        settings.idleTimeout = Millis{5000};
        settings.requestTimeout = Millis{5000};
        return settings;
    }

    asio::io_context context_;

public:
    HttpServer server{context_, settings(), handler};

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::ip::tcp::socket client_;
    std::thread thread_;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

/** Checks that @p text holds @p count responses, of which the last one, of request @p last, announces the close. */
void checkResponses(const std::string &text, std::size_t count, const std::string &last)
{
    CHECK(countOf(text, "HTTP/1.1 200 OK") == count);
    CHECK(countOf(text, "Connection: close") == 1);
    CHECK(text.rfind("Connection: close") > text.rfind("HTTP/1.1 200 OK"));
    CHECK(text.ends_with("\r\n\r\n" + last));
}

} // namespace

TEST_CASE("HttpServer: a client that always has one more request under way is told the close with its last response")
{
    // Guards against a connection that is never told the close, and is cut off at the end of the process (review, 9).
    Pipeline pipeline;
    HoldingHandler &handler = pipeline.handler;
    pipeline.send(requests(1, 3));
    REQUIRE(handler.awaitRequests(3));
    SUBCASE("the first response says so")
    {
        handler.respond(0, true);
        pipeline.sendLate(request(4));
        handler.respond(1, true);
        handler.respond(2, true);
    }
    SUBCASE("a later one says so, while the first request takes long")
    {
        handler.respond(1, true);
        pipeline.sendLate(request(4));
        handler.respond(0, false);
        handler.respond(2, false);
    }
    SUBCASE("the server closes its connections while no request has a response")
    {
        pipeline.server.closeIdleConnections();
        pipeline.sendLate(request(4));
        pipeline.server.closeIdleConnections();
        for (std::size_t index = 0; index < 3; ++index) {
            handler.respond(index, false);
        }
    }
    SUBCASE("the client goes on sending")
    {
        handler.respond(0, true);
        for (int number = 4; number < 40; ++number) {
            pipeline.send(request(number));
        }
        pipeline.sendLate(request(40));
        handler.respond(2, true);
        handler.respond(1, true);
        pipeline.sendLate(requests(41, 60));
    }
    CHECK(handler.count() == 3);
    checkResponses(pipeline.readAll(), 3, "/3");
    CHECK(handler.count() == 3);
}

TEST_CASE("HttpServer: a request that has begun when the close is decided is the last one")
{
    // Guards against an upload that is cut off in the middle, and against requests that are accepted behind it.
    Pipeline pipeline;
    HoldingHandler &handler = pipeline.handler;
    pipeline.send(requests(1, 2) + "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345");
    REQUIRE(handler.awaitRequests(2));
    SUBCASE("a response says so")
    {
        handler.respond(0, true);
        handler.respond(1, true);
    }
    SUBCASE("the server closes its connections")
    {
        pipeline.server.closeIdleConnections();
        handler.respond(0, false);
        handler.respond(1, false);
    }
    pipeline.send("67890" + request(4));
    REQUIRE(handler.awaitRequests(3));
    pipeline.sendLate(request(5));
    handler.respond(2, false);
    checkResponses(pipeline.readAll(), 3, "/3");
    CHECK(handler.count() == 3);
}

TEST_CASE("HttpServer: requests that are not read yet when the close is decided are not passed on")
{
    // Guards against a client with many requests ahead, or one that reads slowly, which is served on without an end.
    Pipeline pipeline;
    HoldingHandler &handler = pipeline.handler;
    SUBCASE("more requests than are handled at the same time")
    {
        constexpr int kHandledAtOnce = 32;
        pipeline.send(requests(1, 2 * kHandledAtOnce));
        REQUIRE(handler.awaitRequests(kHandledAtOnce));
        handler.respond(kHandledAtOnce - 1, true);
        pipeline.sendLate(request(100));
        for (std::size_t index = 0; index + 1 < kHandledAtOnce; ++index) {
            handler.respond(index, true);
        }
        checkResponses(pipeline.readAll(), kHandledAtOnce, "/32");
        CHECK(handler.count() == kHandledAtOnce);
    }
    SUBCASE("a client that doesn't read")
    {
        pipeline.send(requests(1, 2));
        REQUIRE(handler.awaitRequests(2));
        handler.respond(0, false, kLargeBodyBytes);
        pipeline.sendLate(requests(3, 4));
        handler.respond(1, true);
        pipeline.sendLate(request(5));
        checkResponses(pipeline.readAll(), 2, "/2");
        CHECK(handler.count() == 2);
    }
}
