#include "backend_standin/backendserver.h"

#include "core/randomsource.h"

#include <chrono>
#include <utility>
#include <vector>

#include <asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kSampleInterval(50);
/** A silent connection must stay open without a response, so the request timeout of the HTTP server must not expire. */
constexpr Millis kNoRequestTimeout{24.0 * 3600 * 1000};

HttpResponse jsonResponse(int status, const Json &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

HttpServerSettings serverSettings(const BackendSettings &settings)
{
    HttpServerSettings server;
    server.address = settings.listen;
    server.maximumConnections = settings.connections;
    server.requestTimeout = kNoRequestTimeout;
    return server;
}

/** Path of a target without the prefix "/svc/<service>" and the query. */
std::string pathWithinService(const BackendSettings &settings, const std::string &target)
{
    std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/svc/" + settings.service.value();
    if (path.starts_with(prefix + "/")) {
        path.erase(0, prefix.size());
    }
    return path;
}

} // namespace

BackendServer::BackendServer(asio::io_context &context, BackendSettings settings, std::function<void()> crash)
    : core_(context, std::move(settings), std::move(crash))
    , server_(context, serverSettings(core_.settings), *this)
    , sampleTimer_(context)
    , startId_(fmt::format("{:016x}", DeviceRandom().next()))
{
}

BackendServer::~BackendServer()
{
    server_.close();
}

tl::expected<HostAddress, std::string> BackendServer::open()
{
    asio::post(core_.context, [this] { recordSample(); });
    return server_.open();
}

void BackendServer::drain(std::function<void()> drained)
{
    core_.faults.draining = true;
    drained_ = std::move(drained);
    if (requests_.empty() && drained_) {
        drained_();
    }
}

void BackendServer::handle(HttpRequest request, HttpResponder respond)
{
    if (handleControl(request, respond)) {
        return;
    }
    if (isSilent(request.connection)) {
        if (!core_.faults.executeSilentRequests) {
            return;
        }
        respond = nullptr;
    }
    startRequest(std::move(request), std::move(respond));
}

void BackendServer::connectionClosed(std::uint64_t connection)
{
    // Posted, since RESTinio calls this in the middle of handling the connection.
    asio::post(core_.context, [this, connection] {
        silentConnections_.erase(connection);
        const auto found = requests_.find(connection);
        if (found == requests_.end()) {
            return;
        }
        // A copy, since cancel() removes the request from requests_.
        const auto requests = found->second;
        for (const auto &entry : requests) {
            entry.second->cancel();
        }
    });
}

std::string BackendServer::applyFaults(std::string_view text)
{
    std::string error;
    const std::optional<BackendFaultChange> change = parseBackendFaults(text, core_.faults, error);
    if (!change) {
        return error;
    }
    core_.faults = change->faults;
    silenceOpenConnections(change->silencedShare);
    return {};
}

std::string BackendServer::executions() const
{
    Json entries = Json::array();
    for (const auto &[key, execution] : core_.executions.counts()) {
        Json entry = Json::object();
        entry["tag"] = key.first;
        entry["path"] = key.second;
        entry["repeatable"] = execution.repeatable;
        entry["count"] = execution.count;
        entries.push_back(std::move(entry));
    }
    Json report = Json::object();
    report["server"] = core_.settings.name;
    report["executions"] = std::move(entries);
    report["completed"] = core_.counters.completed;
    report["shed"] = core_.counters.shed;
    report["cancelled"] = core_.counters.cancelled;
    report["late"] = core_.counters.late;
    report["failed_calls"] = core_.counters.failedCalls;
    report["wrong_downstream_answers"] = core_.counters.wrongResponses;
    return report.dump();
}

bool BackendServer::handleControl(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "GET" && request.target == "/health") {
        respond(health());
    } else if (request.method == "GET" && request.target == "/load") {
        respond(load());
    } else if (request.method == "GET" && request.target == "/executions") {
        respond({200, {}, executions()});
    } else if (request.method == "POST" && request.target == "/faults") {
        const std::string error = applyFaults(request.body.text());
        respond({error.empty() ? 200 : 400, {}, error + "\n"});
    } else {
        return false;
    }
    return true;
}

void BackendServer::startRequest(HttpRequest request, HttpResponder respond)
{
    const std::uint64_t connection = request.connection;
    const std::uint64_t id = ++lastRequestId_;
    std::string path = pathWithinService(core_.settings, request.target);
    const auto backendRequest =
        std::make_shared<BackendRequest>(core_, id, std::move(request), std::move(path), std::move(respond),
                                         [this, connection, id] { removeRequest(connection, id); });
    requests_[connection].emplace(id, backendRequest);
    backendRequest->start();
}

void BackendServer::removeRequest(std::uint64_t connection, std::uint64_t id)
{
    const auto found = requests_.find(connection);
    if (found == requests_.end()) {
        return;
    }
    found->second.erase(id);
    if (found->second.empty()) {
        requests_.erase(found);
    }
    if (requests_.empty() && drained_) {
        // Posted, so that the last response is passed to the HTTP server first.
        asio::post(core_.context, drained_);
    }
}

bool BackendServer::isSilent(std::uint64_t connection)
{
    const auto found = silentConnections_.find(connection);
    if (found != silentConnections_.end()) {
        return found->second;
    }
    return silentConnections_.emplace(connection, drawBool(core_.faults.silentShare)).first->second;
}

void BackendServer::silenceOpenConnections(double share)
{
    for (auto &entry : silentConnections_) {
        entry.second = entry.second || drawBool(share);
    }
}

bool BackendServer::drawBool(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(core_.random) < probability;
}

HttpResponse BackendServer::health() const
{
    const LoadSample reported = report_.reportedSample(sample(), core_.faults);
    const bool down = core_.faults.health == HealthReport::AlwaysDown;
    const bool draining = reported.draining && core_.faults.health == HealthReport::Actual;
    Json body = Json::object();
    body["status"] = down ? "down" : draining ? "draining" : "ok";
    body["start"] = startId_;
    return jsonResponse(down ? 503 : 200, body);
}

HttpResponse BackendServer::load() const
{
    const LoadSample reported = report_.reportedSample(sample(), core_.faults);
    Json body = Json::object();
    body["slots"] = core_.settings.slots;
    body["running"] = reported.running;
    body["waiting"] = reported.waiting;
    return jsonResponse(200, body);
}

LoadSample BackendServer::sample() const
{
    return {core_.clock.now(), core_.slots.busy(), core_.slots.waiting(), core_.faults.draining};
}

void BackendServer::recordSample()
{
    report_.record(sample());
    sampleTimer_.expires_after(kSampleInterval);
    sampleTimer_.async_wait([this](const asio::error_code &error) {
        if (!error) {
            recordSample();
        }
    });
}

} // namespace Hibiscus
