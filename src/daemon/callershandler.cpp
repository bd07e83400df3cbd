#include "daemon/callershandler.h"

#include "core/jsondocument.h"
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr const char *kJson = "application/json";

HttpResponse makePage(int status, const char *contentType, std::string body)
{
    HttpResponse response{status, {}, std::move(body)};
    response.headers.add("Content-Type", contentType);
    return response;
}

} // namespace

CallersHandler::CallersHandler(CallServices &services, CallHandler &calls, Callbacks callbacks)
    : services_(services)
    , calls_(calls)
    , callbacks_(std::move(callbacks))
{
}

void CallersHandler::handle(HttpRequest request, HttpResponder respond)
{
    if (request.target.compare(0, 5, "/svc/") == 0) {
        calls_.handleRoot(std::move(request), std::move(respond));
        return;
    }
    respond(handlePage(request));
}

HttpResponse CallersHandler::handlePage(const HttpRequest &request)
{
    const std::string methodAndTarget = request.method + " " + request.target;
    if (methodAndTarget == "POST /identities") {
        const RequestIdentity identity =
            services_.tables.arbiter.with([](Arbiter &arbiter) { return arbiter.issue(); });
        return makePage(kStatusOk, kJson, writeJson({{"request_id", formatRequestIdentity(identity)}}));
    }
    if (methodAndTarget == "GET /status") {
        return makePage(kStatusOk, kJson, callbacks_.statusPage());
    }
    if (methodAndTarget == "GET /metrics") {
        return makePage(kStatusOk, "text/plain; version=0.0.4", services_.tables.metrics.exposition());
    }
    if (methodAndTarget == "POST /drain") {
        callbacks_.drain();
        return makePage(kStatusOk, kJson, callbacks_.statusPage());
    }
    return makePage(kStatusNotFound, "text/plain", "no such page\n");
}

} // namespace Hibiscus
