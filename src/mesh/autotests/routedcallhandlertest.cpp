#include "mesh/autotests/testmesh.h"

#include "directory/serverregistration.h"
#include "http/endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

using namespace Hibiscus;

namespace
{

/** Daemon that takes one connection, answers nothing and can't be reached any more. */
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
            taken = true;
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

    std::atomic<bool> taken{false};

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    HostAddress address_;
    asio::ip::tcp::socket socket_{context_};
    std::thread thread_;
};

} // namespace

TEST_CASE("RoutedCallHandler: a request without an answer ends at its deadline, and its run with it")
{
    // Guards against callers that are held beyond their time, and against servers that work on for nobody.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.await(200);
    mesh.timeout = "150";
    std::promise<int> status;
    mesh.sendHeld([&](const HttpResult &result) { status.set_value(result ? result->status : 0); });
    CHECK(status.get_future().get() == 504);
    while (!mesh.desk->handler.heldClosed) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("RoutedCallHandler: calls of a server for a request that was cancelled are refused")
{
    // Guards against work that goes on below a request whose caller has left, since its server has not noticed yet.
    Mesh mesh;
    mesh.send(mesh.desk->settings.checkIns, {"POST", "/", {}, mesh.desk->report(1, "ready")});
    mesh.await(200);
    const std::string child = std::string(kHeldRequest) + ".1";
    const std::shared_ptr<HttpCall> held = mesh.sendHeld();
    while (!mesh.desk->handler.holds) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(mesh.callFrom(*mesh.desk, child).status == 200);
    held->cancel();
    while (!mesh.desk->handler.heldClosed) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const int runs = mesh.desk->handler.runs;
    CHECK(mesh.callFrom(*mesh.desk, child).status == 504);
    CHECK(mesh.desk->handler.runs == runs);
    CHECK(mesh.callFrom(*mesh.desk, "stranger.1").status == 200);
}

TEST_CASE("RoutedCallHandler: a request to a daemon that fell silent is served by another one in time")
{
    // Guards against requests that wait for the slowest ones of their kind behind a link that is cut.
    Mesh mesh;
    REQUIRE(mesh.report(*mesh.desk, mesh.desk->report(1, "ready")) == 200);
    mesh.await(200);
    // A few slow requests among many fast ones: the time after which a single request counts as late is far above the
    // usual one.
    mesh.desk->handler.slowness = Millis{900};
    for (int i = 0; i < 3; ++i) {
        CHECK(mesh.callFrom(*mesh.front, "slow").status == 200);
    }
    mesh.desk->handler.slowness = Millis{0};
    std::vector<std::shared_ptr<HttpCall>> held;
    for (int i = 0; i < 40; ++i) {
        CHECK(mesh.callFrom(*mesh.front, "fast").status == 200);
    }
    const int runs = mesh.desk->handler.runs;
    // Requests that stay at the one server make the other one the better choice.
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
    while (!silent.taken) {
        CHECK(mesh.callFrom(*mesh.front, "next").status == 200);
    }
}
