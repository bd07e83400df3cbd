#include "daemon/callershandler.h"

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr const char *kJson = "application/json";

HttpResponse page(int status, const char *contentType, std::string body)
{
    HttpResponse response{status, {}, std::move(body)};
    response.headers.add("Content-Type", contentType);
    return response;
}

} // namespace

CallersHandler::CallersHandler(CallServices &services, CallHandler &calls, Functions functions)
    : services_(services)
    , calls_(calls)
    , functions_(std::move(functions))
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
    const std::string wanted = request.method + " " + request.target;
    if (wanted == "POST /identities") {
        const RequestIdentity identity =
            services_.tables.arbiter.with([](Arbiter &arbiter) { return arbiter.issue(); });
        return page(kStatusOk, kJson, nlohmann::json{{"request_id", formatRequestIdentity(identity)}}.dump());
    }
    if (wanted == "GET /status") {
        return page(kStatusOk, kJson, functions_.statusPage());
    }
    if (wanted == "GET /metrics") {
        return page(kStatusOk, "text/plain; version=0.0.4", services_.tables.metrics.exposition());
    }
    if (wanted == "POST /drain") {
        functions_.drain();
        return page(kStatusOk, kJson, functions_.statusPage());
    }
    return page(kStatusNotFound, "text/plain", "no such page\n");
}

} // namespace Hibiscus
