#include "http/endpoint.h"
#include "http/httpclient.h"
#include "http/receivebudget.h"

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <asio/read_until.hpp>
#include <asio/write.hpp>

using namespace Hibiscus;

namespace
{

/** Server that answers each connection with a head and then repeats a piece until the client closes the connection. */
class EndlessServer
{
public:
    EndlessServer(std::string head, std::string piece)
        : head_(std::move(head))
        , piece_(std::move(piece))
        , acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this] { accept(); })
    {
    }
    ~EndlessServer()
    {
        asio::ip::tcp::socket wakeUp(context_);
        stopping_ = true;
        asio::error_code ignored;
        wakeUp.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (std::thread &connection : connections_) {
            connection.join();
        }
    }

    HostAddress address() const
    {
        return formatEndpoint(acceptor_.local_endpoint());
    }

    std::atomic<int> closed{0}; ///< Connections that the client closed.

private:
    void accept()
    {
        while (!stopping_) {
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            if (!stopping_) {
                connections_.emplace_back([this, socket = std::move(socket)]() mutable { serve(socket); });
            }
        }
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        std::string request;
        asio::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(head_), error);
        while (!error) {
            asio::write(socket, asio::buffer(piece_), error);
        }
        ++closed;
    }

    std::string head_;
    std::string piece_;
    std::atomic<bool> stopping_{false};
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

constexpr const char *kEcho = "X-Id";

/** Sends @p count requests at once and returns how each ended. @p peak is set to the most that bodies held. */
std::vector<HttpResult> sendMany(const HostAddress &address, int count, std::size_t &peak)
{
    asio::io_context context;
    HttpClient client(context);
    std::vector<HttpResult> results;
    HttpCallOptions options;
    options.echoedField = kEcho;
    for (int i = 0; i < count; ++i) {
        HttpRequest request{"GET", "/", {}, ""};
        request.headers.set(kEcho, std::to_string(i));
        client.send(address, std::move(request), options,
                    [&results](HttpResult received) { results.push_back(std::move(received)); });
    }
    while (context.run_one() > 0) {
        peak = std::max(peak, client.receivedBytes());
    }
    CHECK(client.receivedBytes() == 0);
    CHECK(client.idleConnections() == 0);
    return results;
}

} // namespace

TEST_CASE("HttpClient: bytes without end that are no response end the request as malformed and close the connection")
{
    // Guards against a server in trouble that keeps a request, a connection and memory until the deadline.
    struct Case {
        const char *name;
        std::string head;
        std::string piece;
    };
    const std::string page(4096, 'x');
    const std::vector<Case> cases{
        {"no status line", "", page},
        {"status line", "HTTP/1.1 200 ", page},
        {"header value", "HTTP/1.1 200 OK\r\nX-Long: ", page},
        {"header fields", "HTTP/1.1 200 OK\r\n", "X-Next: 1\r\n"},
        {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::string(4096, '0')},
        {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", page},
        {"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + page + "\r\n"},
        {"trailer fields", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Next: 1\r\n"},
        {"body without length", "HTTP/1.1 200 OK\r\n\r\n", page},
        {"body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", page},
        {"responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx"},
        {"informational responses", "", "HTTP/1.1 100 Continue\r\nX-Id: other\r\n\r\n"},
    };
    for (const Case &endless : cases) {
        CAPTURE(endless.name);
        EndlessServer server(endless.head, endless.piece);
        std::size_t peak = 0;
        for (const HttpResult &result : sendMany(server.address(), 1, peak)) {
            REQUIRE(!result);
            CHECK(result.error() == TransportError::MalformedResponse);
        }
        while (server.closed < 1) {
            std::this_thread::yield();
        }
    }
}

TEST_CASE("HttpClient: many endless bodies at once share one bound on memory")
{
    // Guards against a process that is killed for its memory: each body alone is within the bound of one body.
    constexpr int kRequests = 24;
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'));
    std::size_t peak = 0;
    const auto results = sendMany(server.address(), kRequests, peak);
    CHECK(results.size() == kRequests);
    for (const HttpResult &result : results) {
        CHECK(!result);
    }
    CHECK(peak <= ReceiveBudget::kTotalBytes + kRequests * ReceiveBudget::kUndisputedBytes);
}

TEST_CASE("ReceiveBudget: large bodies are given up first, and small ones go on")
{
    // Guards against a server that sends without end and thereby ends the responses of sound servers.
    ReceiveBudget budget;
    CHECK(budget.grow(0, ReceiveBudget::kTotalBytes));
    CHECK(budget.grow(0, ReceiveBudget::kUndisputedBytes));
    CHECK_FALSE(budget.grow(ReceiveBudget::kUndisputedBytes, ReceiveBudget::kUndisputedBytes + 1));
    budget.release(ReceiveBudget::kTotalBytes);
    CHECK(budget.grow(0, ReceiveBudget::kUndisputedBytes + 1));
}
