#include "backend_standin/backendserver.h"
#include "backend_standin/responsetree.h"

#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

namespace
{

void failOnCrash()
{
    FAIL("no request may crash the server");
}

/** Runs backend servers and a client on one thread. */
class Fixture
{
public:
    Fixture()
        : work_(asio::make_work_guard(context))
        , client(context)
        , thread_([this] { context.run(); })
    {
    }

    ~Fixture()
    {
        context.stop();
        thread_.join();
    }

    /** Starts a server, which is destroyed after the thread has ended. */
    HostAddress serve(const BackendSettings &settings, const std::function<void()> &crash = failOnCrash)
    {
        servers.push_back(std::make_unique<BackendServer>(context, settings, crash));
        return servers.back()->open().value();
    }

    std::future<HttpResult> send(const HostAddress &address, const std::string &method, const std::string &target,
                                 HttpHeaders headers = {}, const std::string &body = {})
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        call = client.send(address, {method, target, std::move(headers), body}, {},
                           [promise](HttpResult result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    HttpResponse sendAndWait(const HostAddress &address, const std::string &method, const std::string &target,
                             HttpHeaders headers = {}, const std::string &body = {})
    {
        return send(address, method, target, std::move(headers), body).get().value();
    }

    /** Waits until a server reports @p running requests in its slots. */
    void waitForRunning(const HostAddress &address, int running)
    {
        while (nlohmann::json::parse(sendAndWait(address, "GET", "/load").body).at("running") != running) { }
    }

    asio::io_context context{1};
    std::vector<std::unique_ptr<BackendServer>> servers;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_;

public:
    HttpClient client;
    std::shared_ptr<HttpCall> call;

private:
    std::thread thread_;
};

HttpHeaders tagHeaders(const std::string &tag)
{
    HttpHeaders headers;
    headers.add(kTagHeader, tag);
    return headers;
}

BackendSettings parseSettings(const std::string &text)
{
    const auto settings = parseBackendSettings(text);
    REQUIRE(settings.has_value());
    return *settings;
}

constexpr const char *kInstantService =
    R"({"service": "waiver-store", "service_time": {"distribution": "fixed", "mean_ms": 0}})";
constexpr const char *kOneSlotOneHour =
    R"({"slots": 1, "queue": 0, "service_time": {"distribution": "fixed", "mean_ms": 3600000}})";

} // namespace

TEST_CASE("BackendServer: a response covers all downstream responses, and each non-repeatable execution is counted")
{
    // Guards against double runs and response mix-ups that a measurement would not detect.
    for (const char *mode : {"sequential", "parallel"}) {
        CAPTURE(mode);
        Fixture fixture;
        const HostAddress downstreamAddress = fixture.serve(parseSettings(kInstantService));
        BackendSettings settings = parseSettings(std::string(R"({"service": "deposit-desk", "answer_bytes": 10,
            "service_time": {"distribution": "exponential", "mean_ms": 0.1}, "routes": [{"method": "POST",
            "path_prefix": "/deposits", "mode": ")")
                                                 + mode + R"(", "calls": [
            {"service": "waiver-store", "method": "POST", "path": "/waivers"},
            {"service": "waiver-store", "path": "/waivers"}]}]})");
        settings.localListener = downstreamAddress;
        const HostAddress address = fixture.serve(settings);

        const HttpResponse response = fixture.sendAndWait(address, "POST", "/deposits", tagHeaders("t1"), "body");
        CHECK(response.status == 200);
        CHECK(response.headers.find(kTagHeader) == "t1");
        CHECK(response.headers.find(kDigestHeader) == responseDigest(response.body));
        CHECK(isCompleteResponse(response.body, "t1", "body"));
        CHECK_FALSE(isCompleteResponse(response.body, "t2", "body"));
        CHECK_FALSE(isCompleteResponse(response.body, "t1", "other body"));
        fixture.sendAndWait(address, "POST", "/deposits", tagHeaders("t1"), "body");
        const auto report = nlohmann::json::parse(fixture.sendAndWait(downstreamAddress, "GET", "/executions").body);
        REQUIRE(report.at("executions").size() == 1);
        CHECK(report.at("executions")[0].at("tag") == "t1.0");
        CHECK(report.at("executions")[0].at("count") == 2);
        CHECK(report.at("executions")[0].at("path") == "deposit-desk POST /deposits > waiver-store POST /waivers");
        CHECK(report.at("completed") == 4);
    }
}

TEST_CASE("BackendServer: refusals are marked as not run, and a closed connection releases its slot")
{
    // Guards against shed requests that are counted as executed, and against slots held for closed connections.
    Fixture fixture;
    const HostAddress address = fixture.serve(parseSettings(kOneSlotOneHour));
    const auto abandoned = fixture.send(address, "POST", "/a", tagHeaders("t1"));
    const auto call = fixture.call;
    fixture.waitForRunning(address, 1);

    const HttpResponse shed = fixture.sendAndWait(address, "POST", "/a", tagHeaders("t2"));
    CHECK(shed.status == 503);
    CHECK(shed.headers.find("Hibiscus-Not-Run") == "1");
    HttpHeaders late = tagHeaders("t3");
    late.add("Hibiscus-Deadline-Ms", "0");
    CHECK(fixture.sendAndWait(address, "POST", "/a", late).headers.find("Hibiscus-Not-Run") == "1");

    call->cancel();
    fixture.waitForRunning(address, 0);
    HttpHeaders expiring = tagHeaders("t4");
    expiring.add("Hibiscus-Deadline-Ms", "20");
    const HttpResponse expired = fixture.sendAndWait(address, "POST", "/a", expiring);
    CHECK(expired.status == 504);
    CHECK_FALSE(expired.headers.find("Hibiscus-Not-Run").has_value());
    const auto report = nlohmann::json::parse(fixture.sendAndWait(address, "GET", "/executions").body);
    CHECK(report.at("executions").size() == 2);
    CHECK(report.at("cancelled") == 1);
    CHECK(report.at("shed") == 2);
}

TEST_CASE("BackendServer: draining refuses new requests and completes running ones")
{
    // Guards against a graceful shutdown that interrupts requests in progress.
    std::promise<void> drained;
    Fixture fixture;
    const HostAddress address = fixture.serve(parseSettings(
        R"({"service_time": {"distribution": "fixed", "mean_ms": 0},
            "routes": [{"path_prefix": "/slow", "mean_ms": 300}]})"));
    auto running = fixture.send(address, "GET", "/slow", tagHeaders("t0"));
    fixture.waitForRunning(address, 1);
    CHECK(fixture.sendAndWait(address, "POST", "/faults", {}, R"({"drain": true})").status == 200);
    CHECK(fixture.sendAndWait(address, "GET", "/a", tagHeaders("t1")).headers.find("Hibiscus-Not-Run") == "1");
    CHECK(fixture.sendAndWait(address, "GET", "/health").body.find("draining") != std::string::npos);
    CHECK(fixture.sendAndWait(address, "POST", "/faults", {}, R"({"health": "up"})").status == 200);
    CHECK(fixture.sendAndWait(address, "GET", "/health").body.find("ok") != std::string::npos);
    CHECK(fixture.sendAndWait(address, "POST", "/faults", {}, R"({"heatlh": "up"})").status == 400);
    asio::post(fixture.context, [&] { fixture.servers.front()->drain([&drained] { drained.set_value(); }); });
    drained.get_future().get();
    CHECK(running.get()->status == 200);
}

TEST_CASE("BackendServer: a request on a silent connection is executed without a response, a new connection works")
{
    // Guards against a fault that closes connections or blocks the server instead of withholding responses.
    Fixture fixture;
    const HostAddress address = fixture.serve(parseSettings(kInstantService));
    CHECK(fixture.sendAndWait(address, "POST", "/a", tagHeaders("t1")).status == 200);
    CHECK(fixture.sendAndWait(address, "POST", "/faults", {}, R"({"silence_open": 1})").status == 200);
    const auto silent = fixture.send(address, "POST", "/a", tagHeaders("t2"));
    CHECK(fixture.sendAndWait(address, "POST", "/a", tagHeaders("t3")).status == 200);
    while (fixture.sendAndWait(address, "GET", "/executions").body.find("t2") == std::string::npos) { }
    CHECK(silent.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
}

TEST_CASE("BackendServer: a crash request calls the crash function and is not executed")
{
    // Guards against a crash request that gets a response or is counted as an execution.
    std::promise<void> crashed;
    Fixture fixture;
    const HostAddress address = fixture.serve(parseSettings(kInstantService), [&crashed] { crashed.set_value(); });
    const auto crashing = fixture.send(address, "POST", "/crash", tagHeaders("t1"));
    crashed.get_future().get();
    CHECK(fixture.sendAndWait(address, "GET", "/executions").body.find("t1") == std::string::npos);
}

TEST_CASE("BackendSettings: an unknown member or distribution is an error")
{
    // Guards against a misspelt setting that is silently replaced by its default.
    CHECK(parseBackendSettings(R"({"slot": 3})").error().find("slot") != std::string::npos);
    CHECK_FALSE(parseBackendSettings(R"({"service_time": {"distribution": "gamma"}})").has_value());
    CHECK(parseBackendSettings("{/* comment */ \"slots\": 3}")->slots == 3);
}
