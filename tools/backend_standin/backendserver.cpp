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
/** A silent connection must stay open without an answer, so the server's own request timeout is out of reach. */
constexpr Millis kNoRequestTimeout{24.0 * 3600 * 1000};

HttpResponse jsonAnswer(int status, const Json &body)
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

/** Path as the server knows it, without "/svc/<service>" and the query. */
std::string ownPath(const BackendSettings &settings, const std::string &target)
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
    asio::post(core_.context, [this] { recordSamples(); });
    return server_.open();
}

void BackendServer::drain(std::function<void()> drained)
{
    core_.faults.draining = true;
    drained_ = std::move(drained);
    if (runs_.empty() && drained_) {
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
    run(std::move(request), std::move(respond));
}

void BackendServer::connectionClosed(std::uint64_t connection)
{
    // Posted, since RESTinio calls this in the middle of its own handling of the connection.
    asio::post(core_.context, [this, connection] {
        silent_.erase(connection);
        const auto found = runs_.find(connection);
        if (found == runs_.end()) {
            return;
        }
        const auto runs = found->second;
        for (const auto &entry : runs) {
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
    Json listed = Json::array();
    for (const auto &[key, execution] : core_.executions.counts()) {
        Json entry = Json::object();
        entry["tag"] = key.first;
        entry["path"] = key.second;
        entry["repeatable"] = execution.repeatable;
        entry["count"] = execution.count;
        listed.push_back(std::move(entry));
    }
    Json report = Json::object();
    report["server"] = core_.settings.name;
    report["executions"] = std::move(listed);
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
        const std::string error = applyFaults(request.body);
        respond({error.empty() ? 200 : 400, {}, error + "\n"});
    } else {
        return false;
    }
    return true;
}

void BackendServer::run(HttpRequest request, HttpResponder respond)
{
    const std::uint64_t connection = request.connection;
    const std::uint64_t id = ++lastRun_;
    std::string path = ownPath(core_.settings, request.target);
    const auto started =
        std::make_shared<BackendRun>(core_, id, std::move(request), std::move(path), std::move(respond),
                                     [this, connection, id] { ended(connection, id); });
    runs_[connection].emplace(id, started);
    started->start();
}

void BackendServer::ended(std::uint64_t connection, std::uint64_t id)
{
    const auto found = runs_.find(connection);
    if (found == runs_.end()) {
        return;
    }
    found->second.erase(id);
    if (found->second.empty()) {
        runs_.erase(found);
    }
    if (runs_.empty() && drained_) {
        // Posted, so that the last answer is on its way before.
        asio::post(core_.context, drained_);
    }
}

bool BackendServer::isSilent(std::uint64_t connection)
{
    const auto found = silent_.find(connection);
    if (found != silent_.end()) {
        return found->second;
    }
    return silent_.emplace(connection, draw(core_.faults.silentShare)).first->second;
}

void BackendServer::silenceOpenConnections(double share)
{
    for (auto &entry : silent_) {
        entry.second = entry.second || draw(share);
    }
}

bool BackendServer::draw(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(core_.random) < share;
}

HttpResponse BackendServer::health() const
{
    const LoadSample reported = report_.reportedSample(sample(), core_.faults);
    const bool down = core_.faults.health == HealthReport::AlwaysDown;
    const bool draining = reported.draining && core_.faults.health == HealthReport::Actual;
    Json body = Json::object();
    body["status"] = down ? "down" : draining ? "draining" : "ok";
    body["start"] = startId_;
    return jsonAnswer(down ? 503 : 200, body);
}

HttpResponse BackendServer::load() const
{
    const LoadSample reported = report_.reportedSample(sample(), core_.faults);
    Json body = Json::object();
    body["slots"] = core_.settings.slots;
    body["running"] = reported.running;
    body["waiting"] = reported.waiting;
    return jsonAnswer(200, body);
}

LoadSample BackendServer::sample() const
{
    return {core_.clock.now(), core_.slots.busy(), core_.slots.waiting(), core_.faults.draining};
}

void BackendServer::recordSamples()
{
    report_.record(sample());
    sampleTimer_.expires_after(kSampleInterval);
    sampleTimer_.async_wait([this](const asio::error_code &error) {
        if (!error) {
            recordSamples();
        }
    });
}

} // namespace Hibiscus
