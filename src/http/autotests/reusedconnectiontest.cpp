#include "http/endpoint.h"
#include "http/httpclient.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

using namespace Hibiscus;

namespace
{

constexpr const char *kEcho = "X-Id";
/** Longer than the socket buffers, so that the server can act in the middle of its sending. */
constexpr std::size_t kLongBody = 8U << 20U;

std::string responseTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** When the second copy of the response to request 1 is sent. */
enum class CopyAt {
    WithTheFirst,
    BeforeNextRequest, ///< Some time after the first, while the connection is idle.
    InNextRequest, ///< After a part of request 2 has been read.
    AfterNextRequest, ///< After all of request 2, before its response.
    SplitInNextRequest, ///< Its first part after a part of request 2, the rest before the response to that.
};

/** Server that answers requests in turn on each connection and sends a second copy of the first answer. */
class CopyingServer
{
public:
    explicit CopyingServer(CopyAt copyAt)
        : copyAt_(copyAt)
        , acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this] { run(); })
    {
    }
    ~CopyingServer()
    {
        asio::ip::tcp::socket wakeUp(context_);
        asio::error_code ignored;
        stopping_ = true;
        wakeUp.connect(acceptor_.local_endpoint(), ignored);
        wakeUp.close(ignored);
        thread_.join();
    }

    HostAddress address() const
    {
        return formatEndpoint(acceptor_.local_endpoint());
    }

    std::atomic<bool> copied{false}; ///< What is sent on the idle connection has been sent.

private:
    void run()
    {
        while (!stopping_) {
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            asio::error_code error;
            while (!error) {
                serve(socket, error);
            }
        }
    }

    void serve(asio::ip::tcp::socket &socket, asio::error_code &error)
    {
        const std::string copy = responseTo("1", "one");
        std::string input;
        const std::size_t head = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
        if (error) {
            return;
        }
        const bool isFirst = input.find("X-Id: 1\r\n") != std::string::npos;
        if (!isFirst && copyAt_ == CopyAt::InNextRequest) {
            asio::write(socket, asio::buffer(copy), error);
        } else if (!isFirst && copyAt_ == CopyAt::SplitInNextRequest) {
            asio::write(socket, asio::buffer(copy.substr(0, copy.size() / 2)), error);
        }
        const std::size_t field = input.find("Content-Length: ") + std::string("Content-Length: ").size();
        const std::size_t rest = head + std::stoul(input.substr(field)) - input.size();
        asio::read(socket, asio::dynamic_buffer(input), asio::transfer_exactly(rest), error);
        if (isFirst) {
            asio::write(socket, asio::buffer(copyAt_ == CopyAt::WithTheFirst ? copy + copy : copy), error);
            sendCopyWhileIdle(socket, copy, error);
            return;
        }
        if (copyAt_ == CopyAt::AfterNextRequest) {
            asio::write(socket, asio::buffer(copy), error);
        } else if (copyAt_ == CopyAt::SplitInNextRequest) {
            asio::write(socket, asio::buffer(copy.substr(copy.size() / 2)), error);
        }
        asio::write(socket, asio::buffer(responseTo("2", "two")), error);
    }

    void sendCopyWhileIdle(asio::ip::tcp::socket &socket, const std::string &copy, asio::error_code &error)
    {
        if (copyAt_ == CopyAt::BeforeNextRequest) {
            asio::write(socket, asio::buffer(copy), error);
        }
        copied = true;
    }

    CopyAt copyAt_;
    std::atomic<bool> stopping_{false};
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

HttpResult sendRequest(asio::io_context &context, HttpClient &client, const HostAddress &address, const char *id,
                       std::size_t bodyBytes)
{
    HttpRequest request{"POST", "/", {}, std::string(bodyBytes, 'b')};
    request.headers.set(kEcho, id);
    HttpCallOptions options;
    options.echoedField = kEcho;
    HttpResult result = tl::unexpected(TransportError::ConnectFailed);
    client.send(address, std::move(request), options, [&result](HttpResult received) { result = std::move(received); });
    context.run();
    context.restart();
    return result;
}

} // namespace

TEST_CASE("HttpClient: a second copy of a response is never the response to the next request")
{
    // Guards against a late copy on a connection that is in use again; here both responses have the same length.
    for (const CopyAt copyAt : {CopyAt::WithTheFirst, CopyAt::BeforeNextRequest, CopyAt::InNextRequest,
                                CopyAt::AfterNextRequest, CopyAt::SplitInNextRequest}) {
        for (const std::size_t bodyBytes : {std::size_t{3}, kLongBody}) {
            CAPTURE(static_cast<int>(copyAt));
            CAPTURE(bodyBytes);
            CopyingServer server(copyAt);
            asio::io_context context;
            HttpClient client(context);
            const HttpResult first = sendRequest(context, client, server.address(), "1", 3);
            REQUIRE(first.has_value());
            CHECK(first->body == "one");
            while (!server.copied) {
                std::this_thread::yield();
            }
            const HttpResult second = sendRequest(context, client, server.address(), "2", bodyBytes);
            REQUIRE(second.has_value());
            CHECK(second->body == "two");
        }
    }
}

TEST_CASE("HttpClient: a response that breaks off at any byte is not a complete one")
{
    // Guards against a broken response that reaches the caller as a success: at the end of the connection by its
    // length, its chunks or its head, and by a reset if it has no length.
    const std::string head = "HTTP/1.1 200 OK\r\n";
    struct Case {
        std::string whole;
        bool isReset;
    };
    const Case cases[] = {
        {head + "Content-Length: 5\r\n\r\nabcde", false},
        {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false},
        {head + "\r\nabcde", true},
    };
    for (const Case &broken : cases) {
        const std::size_t length = broken.isReset ? broken.whole.size() + 1 : broken.whole.size();
        for (std::size_t sent = 0; sent < length; ++sent) {
            CAPTURE(broken.whole);
            CAPTURE(sent);
            asio::io_context context;
            asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            std::thread server([&] {
                asio::ip::tcp::socket socket(context);
                acceptor.accept(socket);
                std::string input;
                asio::error_code error;
                asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
                asio::write(socket, asio::buffer(broken.whole.substr(0, sent)), error);
                if (broken.isReset) {
                    socket.set_option(asio::socket_base::linger(true, 0), error);
                }
                socket.close(error);
            });
            asio::io_context clientContext;
            HttpClient client(clientContext);
            const HttpResult result =
                sendRequest(clientContext, client, formatEndpoint(acceptor.local_endpoint()), "1", 0);
            server.join();
            CHECK_FALSE(result.has_value());
        }
    }
}

TEST_CASE("HttpClient: interim and late responses are passed to whoever wants to read them, and are no result")
{
    // Guards against an interim response that ends its request, and against news of a server that is dropped unread.
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    std::thread server([&acceptor, &context] {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket);
        std::string input;
        asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n");
        asio::write(socket,
                    asio::buffer("HTTP/1.1 103 Early Hints\r\nX-News: a\r\n\r\n" + responseTo("0", "late")
                                 + responseTo("1", "mine")));
    });
    std::vector<int> others;
    HttpCallOptions options;
    options.echoedField = kEcho;
    options.otherResponse = [&others](const HttpResponse &response) { others.push_back(response.status); };
    HttpRequest request{"GET", "/", {}, ""};
    request.headers.add(kEcho, "1");
    std::string body;
    HttpClient client(context);
    client.send(formatEndpoint(acceptor.local_endpoint()), std::move(request), options,
                [&body](const HttpResult &result) { body = result ? result->body : ""; });
    context.run();
    server.join();
    CHECK(body == "mine");
    CHECK(others == std::vector<int>{103, 200});
}
