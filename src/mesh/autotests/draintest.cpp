#include "http/endpoint.h"
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
    caller.connect(*parseEndpoint(mesh.front->settings.callers));
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

TEST_CASE("MeshDaemon: a caller that always has one more request under way is told the close before the daemon ends")
{
    // Guards against requests that a draining daemon passes on until it ends, and never answers (review, case 9).
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    const int before = mesh.desk->handler.runs;
    mesh.desk->handler.responseDelay = Millis{20};
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(*parseEndpoint(mesh.front->settings.callers));
    std::atomic<bool> isClosed{false};
    std::thread sender([&] {
        asio::error_code error;
        for (int i = 0; !isClosed && !error; ++i) {
            const std::string name = "piped-" + std::to_string(i);
            asio::write(caller, asio::buffer("GET /p HTTP/1.1\r\nHost: h\r\nX-Request: " + name + "\r\n\r\n"), error);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    });
    std::string text(kPieceBytes, '\0');
    std::size_t size = caller.read_some(asio::buffer(text));
    mesh.front->drain();
    asio::error_code error;
    while (!error) {
        text.resize(size + kPieceBytes);
        size += caller.read_some(asio::buffer(text.data() + size, kPieceBytes), error);
    }
    text.resize(size);
    isClosed = true;
    CHECK(error == asio::error::eof);
    CHECK_FALSE(mesh.front->ended);
    sender.join();
    int responses = 0;
    for (std::size_t at = text.find("HTTP/1.1 200"); at != std::string::npos; at = text.find("HTTP/1.1 200", at + 1)) {
        ++responses;
    }
    CHECK(responses == mesh.desk->handler.runs - before);
    CHECK(text.rfind("Connection: close") > text.rfind("HTTP/1.1 200"));
    CHECK(text.rfind("Connection: close") != std::string::npos);
    caller.close();
    while (!mesh.front->ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

TEST_CASE("MeshDaemon: a daemon that drains stays until a caller that goes on sending has read its last response")
{
    // Guards against a last response that is lost, since the end of the process resets a connection with unread input.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(*parseEndpoint(mesh.front->settings.callers));
    const std::string request = "GET /p HTTP/1.1\r\nHost: h\r\nX-Request: piped\r\n\r\n";
    mesh.front->drain();
    // The end of the drain closes connections after this time; it ends the daemon as soon as that is idle.
    std::this_thread::sleep_for(std::chrono::milliseconds(2300));
    asio::error_code error;
    for (int i = 0; i < 100 && !error; ++i) {
        asio::write(caller, asio::buffer(request), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK_FALSE(error);
    CHECK_FALSE(mesh.front->ended);
    std::string text(kPieceBytes, '\0');
    text.resize(asio::read(caller, asio::buffer(text), error));
    CHECK(error == asio::error::eof);
    CHECK(text.find("HTTP/1.1 200") != std::string::npos);
    CHECK(text.find("Connection: close") != std::string::npos);
    caller.close();
    while (!mesh.front->ended) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}
