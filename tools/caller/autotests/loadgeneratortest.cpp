#include "caller/loadgenerator.h"
#include "backend_standin/backendserver.h"
#include "backend_standin/responsetree.h"

#include <set>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

namespace
{

/** Requires an identity, refuses the first request that has one as not run, and completes the next one. */
class IdentityRequiringDaemon : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpResponder respond) override
    {
        HttpResponse response;
        const std::string tag(request.headers.find(kTagHeader).value_or(""));
        const auto identity = request.headers.find("Hibiscus-Request-Id");
        response.headers.add("Hibiscus-Outcome", "not-run");
        if (!identity) {
            response.status = 428;
            response.headers.add("Hibiscus-Request-Id", "id-" + tag);
        } else if (*identity == "id-" + tag && refused_.insert(tag).second) {
            response.status = 503;
        } else {
            response = completedResponse(tag, request.body);
        }
        respond(std::move(response));
    }

private:
    static HttpResponse completedResponse(const std::string &tag, const std::string &requestBody)
    {
        HttpResponse response;
        response.status = 200;
        response.body = makeResponseBody(tag, requestBody, {}, 0);
        response.headers.add("Hibiscus-Outcome", "completed");
        response.headers.add(kTagHeader, tag);
        response.headers.add(kDigestHeader, responseDigest(response.body));
        return response;
    }

    std::set<std::string> refused_;
};

CallerSettings parseSettings(const std::string &text)
{
    const auto settings = parseCallerSettings(text);
    REQUIRE(settings.has_value());
    return *settings;
}

nlohmann::json runToEnd(asio::io_context &context, const CallerSettings &settings)
{
    LoadGenerator generator(context, settings);
    REQUIRE(generator.settingsError().empty());
    generator.start([&context] { context.stop(); });
    context.restart();
    context.run();
    return generator.report();
}

void failOnCrash()
{
    FAIL("no request may crash the server");
}

} // namespace

TEST_CASE("LoadGenerator: a request is resent with the identity that a daemon gave it")
{
    // Guards against resends with a new identity, which the layer would execute again.
    asio::io_context context(1);
    IdentityRequiringDaemon daemon;
    HttpServer server(context, {HostAddress("127.0.0.1:0")}, daemon);
    CallerSettings settings = parseSettings(R"({"duration_ms": 200, "classes": [
        {"name": "deposits", "method": "POST", "path": "/svc/deposit-desk/deposits", "rate": 200, "body_bytes": 40}]})");
    settings.targets = {server.open().value()};
    const auto report = runToEnd(context, settings);
    const auto &deposits = report.at("classes").at("deposits");
    CHECK(deposits.at("offered") > 0);
    CHECK(deposits.at("completed") == deposits.at("offered"));
    CHECK(deposits.at("identities_fetched") == deposits.at("offered"));
    CHECK(deposits.at("resends") == deposits.at("offered"));
    CHECK(report.at("wrong_answers") == 0);
}

TEST_CASE("LoadGenerator: without the layer, resends go to other servers and double runs are counted")
{
    // Guards against a baseline measurement that misses double runs and so makes the layer compare worse than it is.
    asio::io_context context(1);
    const std::string fast = R"({"service_time": {"distribution": "fixed", "mean_ms": 0}, "routes": [{"method": "POST",
        "calls": [{"service": "missing"}]}]})";
    BackendServer first(context, *parseBackendSettings(fast), failOnCrash);
    BackendServer second(context, *parseBackendSettings(fast), failOnCrash);
    CallerSettings settings = parseSettings(R"({"duration_ms": 200, "resends": 1, "classes": [
        {"name": "holds", "method": "POST", "path": "/svc/adoptions/holds", "rate": 100},
        {"name": "browsing", "path": "/svc/adoptions/listings", "rate": 100}]})");
    settings.servers[ServiceName("adoptions")] = {first.open().value(), second.open().value()};
    settings.executions = settings.servers[ServiceName("adoptions")];
    settings.mode = CallerMode::Baseline;
    const auto report = runToEnd(context, settings);
    const auto &holds = report.at("classes").at("holds");
    const auto &browsing = report.at("classes").at("browsing");
    CHECK(browsing.at("completed") == browsing.at("offered"));
    CHECK(browsing.at("offered") > 0);
    CHECK(holds.at("failed") == holds.at("offered"));
    CHECK(report.at("executions").at("double_runs") == holds.at("offered"));
    CHECK(report.at("executions").at("servers_not_read").empty());

    settings.mode = CallerMode::Direct;
    settings.tagPrefix = "direct";
    CHECK(runToEnd(context, settings).at("resends") == 0);
}

TEST_CASE("evaluateResult: a response counts as completed only if it is complete and belongs to the request")
{
    // Guards against goodput that includes truncated responses or those of other requests.
    const std::string complete = makeResponseBody("t1", "body", {makeResponseBody("t1.0", "t1.0", {}, 0)}, 5);
    const std::string swappedChild = makeResponseBody("t1", "body", {makeResponseBody("t2.0", "t2.0", {}, 0)}, 5);
    struct Case {
        const char *name;
        int status;
        const char *outcome;
        const char *tag;
        std::string body;
        CallerOutcome expected;
    };
    const Case cases[] = {
        {"complete", 200, "completed", "t1", complete, CallerOutcome::Completed},
        {"tag of another request", 200, "completed", "t2", complete, CallerOutcome::Wrong},
        {"no tag", 200, "completed", "", complete, CallerOutcome::Wrong},
        {"truncated", 200, "completed", "t1", complete.substr(0, complete.size() - 1), CallerOutcome::Wrong},
        {"downstream response of another request", 200, "completed", "t1", swappedChild, CallerOutcome::Wrong},
        {"error status of a server", 502, "completed", "t1", "", CallerOutcome::Failed},
        {"not run", 503, "not-run", "", "", CallerOutcome::NotRun},
        {"unknown", 504, "unknown", "", "", CallerOutcome::Unknown},
        {"no outcome", 200, "", "t1", complete, CallerOutcome::Unknown},
    };
    for (const Case &testCase : cases) {
        CAPTURE(testCase.name);
        HttpResponse response{testCase.status, {}, testCase.body};
        response.headers.add("Hibiscus-Outcome", testCase.outcome);
        response.headers.add(kDigestHeader, responseDigest(testCase.body));
        if (*testCase.tag != '\0') {
            response.headers.add(kTagHeader, testCase.tag);
        }
        CHECK(evaluateResult(response, {"t1", "body", true}).outcome == testCase.expected);
    }
    CHECK(evaluateResult(tl::unexpected(TransportError::NotBegun), {}).outcome == CallerOutcome::Unreachable);
    CHECK(evaluateResult(tl::unexpected(TransportError::TimedOut), {}).outcome == CallerOutcome::Unknown);
}

TEST_CASE("ExecutionCheck: finds double runs across servers and executed requests that were reported as not run")
{
    // Guards against a comparison that misses a request executed once on each of two servers.
    const std::string executions = R"({"wrong_downstream_answers": 1, "executions": [
        {"tag": "t1", "path": "desk POST /a", "repeatable": false, "count": 1},
        {"tag": "t2", "path": "desk GET /b", "repeatable": true, "count": 2}]})";
    ExecutionCheck check;
    CHECK(check.add(executions));
    CHECK(check.doubleRuns() == 0);
    CHECK(check.add(executions));
    CHECK(check.doubleRuns() == 1);
    CHECK(check.falseNotRun({"t2", "t3"}) == 1);
    CHECK_FALSE(check.add("{}"));
    CHECK(check.report({}).at("wrong_downstream_answers") == 2);
}

TEST_CASE("ArrivalProcess: the surge multiplies the rate, and a seed gives the same arrivals")
{
    // Guards against runs that can't be reproduced and surges with a factor other than the configured one.
    const auto countUntil = [](ArrivalProcess &arrivals, TimePoint end) {
        int count = 0;
        for (; arrivals.next() < end; arrivals.advance()) {
            ++count;
        }
        return count;
    };
    const ArrivalSettings settings{1000, 3, TimePoint{2000}, TimePoint{4000}};
    ArrivalProcess arrivals(settings, 7);
    ArrivalProcess repeated(settings, 7);
    const int before = countUntil(arrivals, {2000});
    const int during = countUntil(arrivals, {4000});
    const int after = countUntil(arrivals, {6000});
    CHECK(before == doctest::Approx(2000).epsilon(0.1));
    CHECK(during == doctest::Approx(6000).epsilon(0.1));
    CHECK(after == doctest::Approx(2000).epsilon(0.1));
    CHECK(countUntil(repeated, {6000}) == before + during + after);
}
