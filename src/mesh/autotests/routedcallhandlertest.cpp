#include "mesh/autotests/testmesh.h"

#include "directory/serverregistration.h"
#include "http/endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

using namespace Hibiscus;

namespace
{

/** Daemon that accepts one connection, sends no response and then accepts no other connection. */
class SilentDaemon
{
public:
    SilentDaemon()
        : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , address_(formatEndpoint(acceptor_.local_endpoint()))
        , thread_([this] {
            asio::error_code error;
            acceptor_.accept(socket_, error);
            acceptor_.close(error);
            accepted = true;
        })
    {
    }
    ~SilentDaemon()
    {
        thread_.join();
    }

    ServerRegistration registration() const
    {
        return {ServerName("silent-1"),
                ServiceName("desk"),
                FailureDomainName("a"),
                address_,
                Incarnation(9),
                1000,
                1000,
                4,
                ServerState::Ready};
    }

    std::atomic<bool> accepted{false};

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    HostAddress address_;
    asio::ip::tcp::socket socket_{context_};
    std::thread thread_;
};

} // namespace

TEST_CASE("RoutedCallHandler: a request without a response ends at its deadline, and so does its execution")
{
    // Guards against callers that wait beyond their timeout, and against servers that go on with a request for which
    // nobody waits.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    mesh.timeout = "150";
    std::promise<int> status;
    mesh.sendHeld([&](const HttpResult &result) { status.set_value(result ? result->status : 0); });
    CHECK(status.get_future().get() == 504);
    while (!mesh.desk->handler.heldConnectionClosed) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("RoutedCallHandler: calls of a server for a request that was cancelled are refused")
{
    // Guards against nested calls that run for a request whose caller has disconnected. The server makes such calls
    // until it notices that the connection of the request was closed.
    Mesh mesh;
    mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")});
    mesh.awaitStatus(200);
    const std::string child = std::string(kHeldRequest) + ".1";
    const std::shared_ptr<HttpCall> held = mesh.sendHeld();
    while (!mesh.desk->handler.isHolding) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(mesh.callFrom(*mesh.desk, child).status == 200);
    held->cancel();
    while (!mesh.desk->handler.heldConnectionClosed) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.callFrom(*mesh.desk, child).status == 504);
    CHECK(mesh.desk->handler.runs == runs);
    CHECK(mesh.callFrom(*mesh.desk, "unknown.1").status == 200);
}

TEST_CASE("RoutedCallHandler: a request to a daemon that fell silent is served by another one in time")
{
    // Guards against a broken link that is noticed only after the time that the slowest requests on the route take, so
    // that a request misses its timeout.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.awaitStatus(200);
    // A few slow requests among many fast ones: the time after which a single request counts as late is far above the
    // usual duration.
    mesh.desk->handler.responseDelay = Millis{900};
    for (int i = 0; i < 3; ++i) {
        CHECK(mesh.callFrom(*mesh.front, "slow").status == 200);
    }
    mesh.desk->handler.responseDelay = Millis{0};
    std::vector<std::shared_ptr<HttpCall>> held;
    for (int i = 0; i < 40; ++i) {
        CHECK(mesh.callFrom(*mesh.front, "fast").status == 200);
    }
    const int runs = mesh.desk->handler.runs;
    // Requests that stay in progress at the first server make the balancer prefer the second one.
    for (int i = 0; i < kSlots / 2; ++i) {
        held.push_back(mesh.sendHeld());
    }
    while (mesh.desk->handler.runs < runs + kSlots / 2) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const SilentDaemon silent;
    REQUIRE(
        mesh.store->create(std::string(kRegistrationKind) + "/silent-1", serializeRegistration(silent.registration()))
            .has_value());
    mesh.timeout = "2500";
    while (!silent.accepted) {
        CHECK(mesh.callFrom(*mesh.front, "next").status == 200);
    }
}
