#include "http/httpserver.h"
#include "mesh/autotests/testmesh.h"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

using namespace Hibiscus;

namespace
{

/** More than the buffers of both ends of a connection hold. */
constexpr std::size_t kLargeBodyBytes = 12U << 20U;
constexpr std::size_t kPieceBytes = 64U << 10U;

/** Backend server with large responses. */
class LargeServer : public HttpHandler
{
public:
    void handle(HttpRequest, HttpResponder respond) override
    {
        respond({200, {}, std::string(kLargeBodyBytes, 'x')});
    }
};

/** Reads from @p socket until @p size bytes were read or it ends; returns the number of bytes. */
std::size_t readUpTo(asio::ip::tcp::socket &socket, std::size_t size)
{
    std::vector<char> buffer(kPieceBytes);
    std::size_t total = 0;
    asio::error_code error;
    while (!error && total < size) {
        total += socket.read_some(asio::buffer(buffer.data(), std::min(buffer.size(), size - total)), error);
    }
    return total;
}

} // namespace

TEST_CASE("MeshDaemon: a caller who reads a large response slowly gets all of it from a daemon that drains")
{
    // Guards against a daemon that ends as idle while a part of a response has not been sent (review, case 3).
    Mesh mesh;
    const Host &host = mesh.addHost("large", "desk");
    LargeServer large;
    asio::io_context context;
    HttpServer server(context, {host.settings.backend}, large);
    REQUIRE(server.open().has_value());
    std::thread worker([&context] { context.run(); });
    REQUIRE(mesh.report(host, host.report(1, "ready")) == 200);
    mesh.awaitStatus(200);

    asio::ip::tcp::socket caller(context);
    const std::string &address = mesh.front->settings.callers.value();
    const auto port = static_cast<asio::ip::port_type>(std::stoi(address.substr(address.rfind(':') + 1)));
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(caller, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: h\r\nX-Request: slow\r\n\r\n")));
    REQUIRE(readUpTo(caller, kPieceBytes) == kPieceBytes);
    mesh.front->drain();
    // Longer than the time after which an idle daemon ends, shorter than its grace period.
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    CHECK_FALSE(mesh.front->ended);
    CHECK(readUpTo(caller, kLargeBodyBytes) >= kLargeBodyBytes - kPieceBytes);
    while (!mesh.front->ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    caller.close();
    context.stop();
    worker.join();
}
