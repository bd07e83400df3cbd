#include "http/autotests/uploadserver.h"
#include "http/httpclient.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

/** More than the buffers of both ends of a connection hold. */
constexpr std::size_t kLargeBodyBytes = 12U << 20U;
constexpr Millis kNeverReached{60000};

/** A client and its event loop. */
struct Client {
    asio::io_context context;
    HttpClient http{context};
    HttpResult result = tl::unexpected(TransportError::ConnectFailed);

    void send(const HostAddress &address, std::size_t bodyBytes, HttpCallOptions options = {},
              const std::function<void()> &received = nullptr)
    {
        http.send(address, {"POST", "/upload", {}, std::string(bodyBytes, 'b')}, options,
                  [this, received](HttpResult response) {
                      result = std::move(response);
                      if (received) {
                          received();
                      }
                  });
        context.run();
        context.restart();
    }
};

/** How a server ends a connection on which it has read only a part of the request. */
enum class ConnectionEnd {
    Reset, ///< The client can't know whether all of a response without a length has arrived.
    OrderlyThenReset, ///< The client has the end of the response; closing with unread input then resets the connection.
};

/** Server that has the head of a request, reads nothing of the body, and once it is released sends fixed bytes and ends
 * the connection. */
class EndingServer
{
public:
    EndingServer(std::string response, ConnectionEnd end)
        : response_(std::move(response))
        , end_(end)
        , acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this] { serve(); })
    {
    }
    ~EndingServer()
    {
        thread_.join();
    }

    HostAddress address() const
    {
        return formatEndpoint(acceptor_.local_endpoint());
    }

    std::atomic<bool> hasHead{false};
    std::atomic<bool> released{false};
    std::atomic<bool> hasEnded{false};

private:
    void serve()
    {
        asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket);
        std::string input;
        asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n");
        hasHead = true;
        while (!released) {
            std::this_thread::yield();
        }
        asio::write(socket, asio::buffer(response_));
        asio::error_code ignored;
        if (end_ == ConnectionEnd::OrderlyThenReset) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        hasEnded = true;
    }

    std::string response_;
    ConnectionEnd end_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/** Result of a long upload whose client does nothing from the moment the server responds until the connection has
 * ended, so that it meets the end of the connection while it writes. */
HttpResult uploadTo(EndingServer &server)
{
    asio::io_context context;
    HttpClient client(context);
    HttpResult result = tl::unexpected(TransportError::ConnectFailed);
    bool hasResult = false;
    client.send(server.address(), {"POST", "/upload", {}, std::string(kLargeBodyBytes, 'b')}, {},
                [&](HttpResult received) {
                    result = std::move(received);
                    hasResult = true;
                });
    while (!server.hasHead) {
        context.poll_one();
    }
    server.released = true;
    while (!server.hasEnded) {
        std::this_thread::yield();
    }
    CHECK_FALSE(hasResult);
    context.run();
    return result;
}

HttpCallOptions optionsFor(RequestStart start, Millis responseTimeout = kNeverReached)
{
    HttpCallOptions options;
    options.start = start;
    options.responseTimeout = responseTimeout;
    return options;
}

} // namespace

TEST_CASE("HttpClient: a request whose server ends in the middle of the body may have begun, unless it is a daemon")
{
    // Guards against a request that runs twice: the server had begun it before it crashed, and the body that could not
    // be written was taken for a request that never arrived.
    for (const auto &[start, expected] : {std::pair(RequestStart::AtHead, TransportError::Lost),
                                          std::pair(RequestStart::AtEnd, TransportError::NotBegun)}) {
        UploadServer server(UploadBehaviour::Crash);
        Client client;
        client.send(server.address(), kLargeBodyBytes, optionsFor(start));
        REQUIRE_FALSE(client.result.has_value());
        CHECK(client.result.error() == expected);
        CHECK(server.runs == 1);
    }
}

TEST_CASE("HttpClient: a server that begins, and neither reads on nor responds, has an unknown outcome")
{
    // Guards against the response timeout saying "not run" of a request that waits in the middle of its body.
    for (const auto &[start, expected] : {std::pair(RequestStart::AtHead, TransportError::TimedOut),
                                          std::pair(RequestStart::AtEnd, TransportError::NotBegun)}) {
        UploadServer server(UploadBehaviour::Hold);
        Client client;
        client.send(server.address(), kLargeBodyBytes, optionsFor(start, Millis{100}));
        REQUIRE_FALSE(client.result.has_value());
        CHECK(client.result.error() == expected);
    }
}

TEST_CASE("HttpClient: a response that comes before the whole body is delivered at once, and the server gets the rest")
{
    // Guards against a response that is lost because the server reads on late, and against a server that gets other
    // bytes than the rest of the body.
    UploadServer server(UploadBehaviour::RespondEarly);
    Client client;
    std::size_t uploads = 0;
    client.send(server.address(), kLargeBodyBytes, {}, [&] {
        uploads = client.http.unfinishedUploads();
        // The response is there although the server has read nothing of the rest.
        CHECK(server.bodies().empty());
        server.release();
    });
    REQUIRE(client.result.has_value());
    CHECK(client.result->body == "done");
    CHECK(uploads == 1);
    CHECK(client.http.unfinishedUploads() == 0);
    // The connection isn't used again, so that no request waits behind the rest of another.
    CHECK(client.http.idleConnections() == 0);
    server.awaitBodies(1);
    client.send(server.address(), 3);
    CHECK(client.result.has_value());
    CHECK(server.bodies() == std::vector<std::string>{std::string(kLargeBodyBytes, 'b'), "bbb"});
}

TEST_CASE("HttpClient: a server that crashes after an early response has responded")
{
    // Guards against a second run of a request whose response had already arrived.
    UploadServer server(UploadBehaviour::RespondEarlyAndCrash);
    Client client;
    client.send(server.address(), kLargeBodyBytes, {}, [&] { server.release(); });
    REQUIRE(client.result.has_value());
    CHECK(client.result->status == 200);
    CHECK(client.http.unfinishedUploads() == 0);
}

TEST_CASE("HttpClient: a server that reads on late is waited for")
{
    // Guards against the kernel's user timeout, which ends a connection to a live peer whose window stays closed, so
    // that running work is given up.
    constexpr std::chrono::milliseconds kLongerThanUserTimeout{3500};
    UploadServer server(UploadBehaviour::Hold);
    std::thread releaser([&] {
        std::this_thread::sleep_for(kLongerThanUserTimeout);
        server.release();
    });
    Client client;
    client.send(server.address(), kLargeBodyBytes);
    releaser.join();
    REQUIRE(client.result.has_value());
    CHECK(client.result->body == "done");
    CHECK(server.runs == 1);
}

TEST_CASE("HttpClient: a response without a length that a reset cuts off during an upload is not a complete one")
{
    // Guards against a part of a response that a client gets as the whole: a reset is reported once, and if writing
    // learns of it, reading meets an end of file.
    for (const std::string status : {"200 OK", "500 Internal Server Error"}) {
        CAPTURE(status);
        EndingServer server("HTTP/1.1 " + status + "\r\n\r\npart", ConnectionEnd::Reset);
        const HttpResult result = uploadTo(server);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error() == TransportError::Lost);
    }
}

TEST_CASE("HttpClient: a response without a length that ends in an orderly way during an upload is complete")
{
    // Guards against the refusal of a whole response because the server then closes without reading the rest.
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        CAPTURE(version);
        EndingServer server(version + " 200 OK\r\n\r\nwhole", ConnectionEnd::OrderlyThenReset);
        const HttpResult result = uploadTo(server);
        REQUIRE(result.has_value());
        CHECK(result->body == "whole");
    }
}

TEST_CASE("HttpClient: a response with a length that is whole before a reset is complete")
{
    EndingServer server("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", ConnectionEnd::Reset);
    const HttpResult result = uploadTo(server);
    REQUIRE(result.has_value());
    CHECK(result->body == "whole");
}
