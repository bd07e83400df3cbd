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

void noCrash()
{
    FAIL("no request may crash the server");
}

/** Runs servers and a client on one thread. */
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

    /** Starts a server, which lives until the thread has ended. */
    HostAddress serve(const BackendSettings &settings, const std::function<void()> &crash = noCrash)
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

    HttpResponse get(const HostAddress &address, const std::string &method, const std::string &target,
                     HttpHeaders headers = {}, const std::string &body = {})
    {
        return send(address, method, target, std::move(headers), body).get().value();
    }

    /** Waits until the load report of a server says so. */
    void waitForRunning(const HostAddress &address, int running)
    {
        while (nlohmann::json::parse(get(address, "GET", "/load").body).at("running") != running) { }
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

HttpHeaders tagged(const std::string &tag)
{
    HttpHeaders headers;
    headers.add(kTagHeader, tag);
    return headers;
}

BackendSettings settingsOf(const std::string &text)
{
    const auto settings = parseBackendSettings(text);
    REQUIRE(settings.has_value());
    return *settings;
}

constexpr const char *kFast = R"({"service": "waiver-store", "service_time": {"distribution": "fixed", "mean_ms": 0}})";
constexpr const char *kEndless =
    R"({"slots": 1, "queue": 0, "service_time": {"distribution": "fixed", "mean_ms": 3600000}})";

} // namespace

TEST_CASE("BackendServer: an answer covers all downstream answers, and each non-repeatable run is counted")
{
    // Guards against double runs and mixed answers that a measurement would not notice.
    for (const char *mode : {"sequential", "parallel"}) {
        CAPTURE(mode);
        Fixture fixture;
        const HostAddress deepAddress = fixture.serve(settingsOf(kFast));
        BackendSettings settings = settingsOf(std::string(R"({"service": "deposit-desk", "answer_bytes": 10,
            "service_time": {"distribution": "exponential", "mean_ms": 0.1}, "routes": [{"method": "POST",
            "path_prefix": "/deposits", "mode": ")")
                                              + mode + R"(", "calls": [
            {"service": "waiver-store", "method": "POST", "path": "/waivers"},
            {"service": "waiver-store", "path": "/waivers"}]}]})");
        settings.localListener = deepAddress;
        const HostAddress address = fixture.serve(settings);

        const HttpResponse answer = fixture.get(address, "POST", "/deposits", tagged("t1"), "body");
        CHECK(answer.status == 200);
        CHECK(answer.headers.find(kTagHeader) == "t1");
        CHECK(answer.headers.find(kDigestHeader) == responseDigest(answer.body));
        CHECK(isCompleteResponse(answer.body, "t1", "body"));
        CHECK_FALSE(isCompleteResponse(answer.body, "t2", "body"));
        CHECK_FALSE(isCompleteResponse(answer.body, "t1", "other body"));
        fixture.get(address, "POST", "/deposits", tagged("t1"), "body");
        const auto runs = nlohmann::json::parse(fixture.get(deepAddress, "GET", "/executions").body);
        REQUIRE(runs.at("executions").size() == 1);
        CHECK(runs.at("executions")[0].at("tag") == "t1.0");
        CHECK(runs.at("executions")[0].at("count") == 2);
        CHECK(runs.at("executions")[0].at("path") == "deposit-desk POST /deposits > waiver-store POST /waivers");
        CHECK(runs.at("completed") == 4);
    }
}

TEST_CASE("BackendServer: refusals are marked as not run, and a closed connection frees its slot")
{
    // Guards against shed requests that count as run, and against slots lost to callers that have gone.
    Fixture fixture;
    const HostAddress address = fixture.serve(settingsOf(kEndless));
    const auto abandoned = fixture.send(address, "POST", "/a", tagged("t1"));
    const auto call = fixture.call;
    fixture.waitForRunning(address, 1);

    const HttpResponse shed = fixture.get(address, "POST", "/a", tagged("t2"));
    CHECK(shed.status == 503);
    CHECK(shed.headers.find("Hibiscus-Not-Run") == "1");
    HttpHeaders late = tagged("t3");
    late.add("Hibiscus-Deadline-Ms", "0");
    CHECK(fixture.get(address, "POST", "/a", late).headers.find("Hibiscus-Not-Run") == "1");

    call->cancel();
    fixture.waitForRunning(address, 0);
    HttpHeaders expiring = tagged("t4");
    expiring.add("Hibiscus-Deadline-Ms", "20");
    const HttpResponse expired = fixture.get(address, "POST", "/a", expiring);
    CHECK(expired.status == 504);
    CHECK_FALSE(expired.headers.find("Hibiscus-Not-Run").has_value());
    const auto runs = nlohmann::json::parse(fixture.get(address, "GET", "/executions").body);
    CHECK(runs.at("executions").size() == 2);
    CHECK(runs.at("cancelled") == 1);
    CHECK(runs.at("shed") == 2);
}

TEST_CASE("BackendServer: draining refuses new requests and completes running ones")
{
    // Guards against a graceful shutdown that interrupts work.
    std::promise<void> drained;
    Fixture fixture;
    const HostAddress address = fixture.serve(settingsOf(
        R"({"service_time": {"distribution": "fixed", "mean_ms": 0},
            "routes": [{"path_prefix": "/slow", "mean_ms": 300}]})"));
    auto running = fixture.send(address, "GET", "/slow", tagged("t0"));
    fixture.waitForRunning(address, 1);
    CHECK(fixture.get(address, "POST", "/faults", {}, R"({"drain": true})").status == 200);
    CHECK(fixture.get(address, "GET", "/a", tagged("t1")).headers.find("Hibiscus-Not-Run") == "1");
    CHECK(fixture.get(address, "GET", "/health").body.find("draining") != std::string::npos);
    CHECK(fixture.get(address, "POST", "/faults", {}, R"({"health": "up"})").status == 200);
    CHECK(fixture.get(address, "GET", "/health").body.find("ok") != std::string::npos);
    CHECK(fixture.get(address, "POST", "/faults", {}, R"({"heatlh": "up"})").status == 400);
    asio::post(fixture.context, [&] { fixture.servers.front()->drain([&drained] { drained.set_value(); }); });
    drained.get_future().get();
    CHECK(running.get()->status == 200);
}

TEST_CASE("BackendServer: a silent connection runs the request without an answer, a new one works")
{
    // Guards against a fault that closes connections or stops the server instead of silencing them.
    Fixture fixture;
    const HostAddress address = fixture.serve(settingsOf(kFast));
    CHECK(fixture.get(address, "POST", "/a", tagged("t1")).status == 200);
    CHECK(fixture.get(address, "POST", "/faults", {}, R"({"silence_open": 1})").status == 200);
    const auto unanswered = fixture.send(address, "POST", "/a", tagged("t2"));
    CHECK(fixture.get(address, "POST", "/a", tagged("t3")).status == 200);
    while (fixture.get(address, "GET", "/executions").body.find("t2") == std::string::npos) { }
    CHECK(unanswered.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
}

TEST_CASE("BackendServer: a crash request reaches the crash function before any work")
{
    // Guards against a crash request that is answered or counted as run.
    std::promise<void> crashed;
    Fixture fixture;
    const HostAddress address = fixture.serve(settingsOf(kFast), [&crashed] { crashed.set_value(); });
    const auto unanswered = fixture.send(address, "POST", "/crash", tagged("t1"));
    crashed.get_future().get();
    CHECK(fixture.get(address, "GET", "/executions").body.find("t1") == std::string::npos);
}

TEST_CASE("BackendSettings: a misspelt member is refused")
{
    // Guards against a scenario that silently runs with defaults.
    CHECK(parseBackendSettings(R"({"slot": 3})").error().find("slot") != std::string::npos);
    CHECK_FALSE(parseBackendSettings(R"({"service_time": {"distribution": "gamma"}})").has_value());
    CHECK(parseBackendSettings("{/* comment */ \"slots\": 3}")->slots == 3);
}
