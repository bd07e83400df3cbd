#include "soak/faultproxy.h"

#include "http/endpoint.h"

#include <optional>
#include <string>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

using Socket = asio::ip::tcp::socket;

const HostAddress kListen("127.0.0.1:26390");

/** A client and a server with a proxy between them, all on one thread. */
class Link
{
public:
    Link()
        : acceptor_(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , proxy(context, kListen, formatEndpoint(acceptor_.local_endpoint()))
        , client(context)
        , server(context)
    {
        REQUIRE(proxy.open().has_value());
        client.connect(*parseEndpoint(kListen));
        bool isAccepted = false;
        acceptor_.async_accept(server, [&](const asio::error_code &error) { isAccepted = !error; });
        while (!isAccepted) {
            context.run_one();
        }
        client.non_blocking(true);
        server.non_blocking(true);
    }

    /** Bytes that arrive at @p socket; empty if the connection was reset. */
    std::optional<std::string> receive(Socket &socket)
    {
        while (true) {
            context.poll();
            context.restart();
            std::string bytes(100, '\0');
            asio::error_code error;
            const std::size_t size = socket.read_some(asio::buffer(bytes), error);
            if (error && error != asio::error::would_block) {
                return std::nullopt;
            }
            if (!error) {
                return bytes.substr(0, size);
            }
        }
    }

    static void send(Socket &socket, const std::string &bytes)
    {
        asio::error_code error;
        socket.write_some(asio::buffer(bytes), error);
        REQUIRE_FALSE(error);
    }

    asio::io_context context;

private:
    asio::ip::tcp::acceptor acceptor_;

public:
    FaultProxy proxy;
    Socket client;
    Socket server;
};

} // namespace

TEST_CASE("FaultProxy: forwards bytes, holds back responses and resets connections")
{
    // Guards against a soak that passes because its faults have no effect.
    Link link;
    Link::send(link.client, "request");
    CHECK(link.receive(link.server) == "request");
    Link::send(link.server, "response");
    CHECK(link.receive(link.client) == "response");

    SUBCASE("responses lost")
    {
        link.proxy.setState(LinkState::ResponsesLost);
        Link::send(link.client, "more");
        CHECK(link.receive(link.server) == "more");
        Link::send(link.server, "lost");
        while (link.context.poll() == 0) {
            link.context.restart();
        }
        link.proxy.setState(LinkState::Normal);
        CHECK_FALSE(link.receive(link.client).has_value());
    }
    SUBCASE("reset")
    {
        link.proxy.resetConnections();
        CHECK_FALSE(link.receive(link.client).has_value());
        CHECK_FALSE(link.receive(link.server).has_value());
    }
    SUBCASE("delayed")
    {
        link.proxy.setState(LinkState::Delayed);
        Link::send(link.client, "late");
        CHECK(link.receive(link.server) == "late");
    }
}
