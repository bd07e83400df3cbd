#ifndef HIBISCUS_MESH_AUTOTESTS_TESTMESH_H
#define HIBISCUS_MESH_AUTOTESTS_TESTMESH_H

#include "mesh/meshdaemon.h"

#include "core/chronotime.h"
#include "daemon/contextbackendprotocol.h"
#include "daemon/headernames.h"
#include "exchange/exchangeserver.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "platform/autotests/sharedobjectstore.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include <asio/post.hpp>
#include <doctest/doctest.h>

namespace Hibiscus
{

inline constexpr const char *kRequestField = "X-Request";
inline constexpr const char *kTeamField = "X-Team";
inline constexpr const char *kRetryAfterField = "X-Retry-After"; ///< In ms.
inline constexpr int kSlots = 40;
inline constexpr std::int64_t kServerStart = 1000; ///< Start of a server whose report names none.
inline constexpr const char *kOnceHost = "once"; ///< Requests to this host may run once at most.
inline constexpr const char *kTimeoutField = "X-Timeout"; ///< In ms.

class TestCallers : public CallerProtocol
{
public:
    Result<CallerRequestMetadata> decode(const HttpRequest &request) const override
    {
        CallerRequestMetadata metadata{std::string(request.headers.find(kRequestField).value_or("")), "", {}};
        if (const auto timeout = request.headers.find(kTimeoutField)) {
            metadata.timeout = Millis{std::stod(std::string(*timeout))};
        }
        const std::size_t dot = metadata.requestId.rfind('.');
        metadata.parentId = metadata.requestId.substr(0, dot == std::string::npos ? 0 : dot);
        if (const auto credential = request.headers.find("Authorization")) {
            metadata.credential = parseCredential({*credential});
        }
        return metadata;
    }
    HttpHeaders forwardedHeaders(const HttpRequest &request, const CallerDescription &caller) const override
    {
        HttpHeaders headers = request.headers;
        if (caller.hidesCredential) {
            headers.remove("Authorization");
        }
        if (caller.team) {
            headers.set(kTeamField, caller.team->value());
        }
        return headers;
    }
    HttpResponse encode(const CallerRequestMetadata &, CallResult result) const override
    {
        if (result.response) {
            return *result.response;
        }
        HttpResponse response{errorResponseFor(result.response.error()).httpStatus, {}, ""};
        response.headers.set(kRetryAfterField, std::to_string(result.retryAfter.value_or(Millis{0}).value));
        return response;
    }
};

class TestCheckIns : public CheckInProtocol
{
public:
    std::optional<ServerReport> decode(const HttpRequest &request) const override
    {
        // "<name> <service> <address> <sequence> <state> [<start>]" or "leave <name> [<start>]"
        std::istringstream text(request.body);
        std::string name, service, address, state;
        std::uint64_t sequence = 0;
        text >> name >> service;
        if (name == "leave") {
            std::int64_t start = 0;
            return LeaveNotice{ServerName(service), text >> start ? std::optional(start) : std::nullopt};
        }
        text >> address >> sequence >> state;
        if (state.empty()) {
            return std::nullopt;
        }
        std::int64_t start = 0;
        start = text >> start ? start : kServerStart;
        return CheckIn{ServerName(name),
                       ServiceName(service),
                       HostAddress(address),
                       FailureDomainName("a"),
                       start,
                       sequence,
                       kSlots,
                       state == "ready" ? ServerState::Ready : ServerState::Draining};
    }
    HttpResponse acknowledge() const override
    {
        return {200, {}, ""};
    }
    HttpResponse reject() const override
    {
        return {400, {}, ""};
    }
};

class TestConfiguration : public ConfigurationDecoder
{
public:
    std::string key() const override
    {
        return "config/main";
    }
    tl::expected<RouteConfiguration, std::string> decode(const std::string &value) const override
    {
        RouteConfiguration configuration;
        configuration.version = ConfigVersion(std::stoull(value));
        Route route;
        route.name = "desk";
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = {{ServiceName("desk"), 1}};
        route.timeout = Millis{20000};
        route.latencyTarget = Millis{1000};
        route.attempts = 2;
        route.idempotent = true;
        configuration.routes = {route};
        route.name = "desk-once";
        route.host = kOnceHost;
        route.idempotent = false;
        configuration.routes.push_back(route);
        return configuration;
    }
};

inline constexpr const char *kHeldRequest = "held";

/** Backend server that counts its requests and responds with the name of the request. kHeldRequest gets no response. */
class CountingServer : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpResponder respond) override
    {
        runs += request.headers.find(kRequestField) ? 1 : 0;
        if (responseDelay > Millis{0}) {
            std::this_thread::sleep_for(toChrono(responseDelay.load()));
        }
        if (request.headers.find(kRequestField) == kHeldRequest) {
            heldConnection_ = request.connection;
            isHolding = true;
            return;
        }
        HttpResponse response{200, {}, std::string(request.headers.find(kRequestField).value_or("none"))};
        {
            const std::lock_guard lock(mutex_);
            for (const auto &[field, value] : notice_) {
                response.headers.set(field, value);
            }
        }
        respond(std::move(response));
    }
    /** From now on all responses have this header field. */
    void setNotice(std::string_view field, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        notice_[std::string(field)] = value;
    }
    void clearNotices()
    {
        const std::lock_guard lock(mutex_);
        notice_.clear();
    }
    void connectionClosed(std::uint64_t connection) override
    {
        heldConnectionClosed = heldConnectionClosed || (isHolding && connection == heldConnection_);
    }
    std::atomic<int> runs{0}; ///< Requests, without health checks.
    std::atomic<Millis> responseDelay{Millis{0}}; ///< Before each response.
    std::atomic<bool> isHolding{false};
    std::atomic<bool> heldConnectionClosed{false};

private:
    std::mutex mutex_;
    std::map<std::string, std::string> notice_; ///< What the server says of itself in each response.
    std::atomic<std::uint64_t> heldConnection_{0};
};

inline int nextPort()
{
    static int port = 26100;
    return port++;
}

inline HostAddress nextAddress()
{
    return HostAddress("127.0.0.1:" + std::to_string(nextPort()));
}

/** One host: a backend server and the daemon beside it. */
class Host
{
public:
    Host(asio::io_context &context, const std::string &name, const std::string &service,
         const std::shared_ptr<MemoryObjectStore> &store, bool startsServer = true)
        : name_(name)
        , context_(context)
        , store_(store)
    {
        settings.serverLostAfter = Millis{600};
        settings.host = name;
        settings.domain = FailureDomainName("a");
        settings.service = ServiceName(service);
        settings.callers = nextAddress();
        settings.ready = nextAddress();
        settings.checkIns = nextAddress();
        settings.peers = nextAddress();
        settings.metrics = nextAddress();
        settings.backend = nextAddress();
        if (startsServer) {
            startServer();
        }
        startDaemon();
    }
    ~Host()
    {
        daemon_->stop();
        thread_.join();
        destroyServer();
    }

    /** Ends the daemon at once and starts another one in its place. The backend server keeps running. */
    void restartDaemon()
    {
        daemon_->stop();
        thread_.join();
        daemon_.reset();
        startDaemon();
    }

    void drain()
    {
        daemon_->drain();
    }

    void startServer()
    {
        destroyServer();
        server_ = std::make_unique<HttpServer>(context_, HttpServerSettings{settings.backend}, handler);
        REQUIRE(server_->open().has_value());
    }

    /** From now on the backend server refuses connections. */
    void stopServer()
    {
        server_->close();
        server_->closeIdleConnections();
    }

    std::string report(int sequence, const std::string &state) const
    {
        return name_ + " " + settings.service.value() + " " + settings.backend.value() + " " + std::to_string(sequence)
            + " " + state;
    }

    CountingServer handler;
    MeshSettings settings;
    std::atomic<bool> ended{false}; ///< The daemon's run() has returned.

private:
    /** Destroys the server on the thread that uses its connections, which may be closing at the same time. */
    void destroyServer()
    {
        std::promise<void> destroyed;
        asio::post(context_, [&] {
            server_.reset();
            destroyed.set_value();
        });
        destroyed.get_future().wait();
    }

    void startDaemon()
    {
        MeshProtocols protocols;
        protocols.callers = std::make_unique<TestCallers>();
        protocols.backend = std::make_unique<ContextBackendProtocol>();
        protocols.checkIns = std::make_unique<TestCheckIns>();
        protocols.configuration = std::make_unique<TestConfiguration>();
        protocols.store = std::make_unique<SharedObjectStore>(store_);
        daemon_ = std::make_unique<MeshDaemon>(settings, std::move(protocols));
        REQUIRE(daemon_->start().has_value());
        thread_ = std::thread([this] {
            daemon_->run();
            ended = true;
        });
    }

    std::string name_;
    asio::io_context &context_;
    std::shared_ptr<MemoryObjectStore> store_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<MeshDaemon> daemon_;
    std::thread thread_;
};

/** Two hosts, a store and a client. */
class Mesh
{
public:
    Mesh()
        : work_(asio::make_work_guard(context_))
        , worker_([this] { context_.run(); })
    {
        REQUIRE(store->create("config/main", "1").has_value());
    }
    ~Mesh()
    {
        others.clear();
        front.reset();
        desk.reset();
        context_.stop();
        worker_.join();
    }

    HttpResponse send(const HostAddress &address, HttpRequest request)
    {
        std::promise<HttpResult> promise;
        client_.send(address, std::move(request), {}, [&](HttpResult result) { promise.set_value(std::move(result)); });
        const HttpResult result = promise.get_future().get();
        return result ? *result : HttpResponse{0, {}, ""};
    }

    /** Sends the call that the backend server of @p host makes for a request, through the daemon beside it. */
    HttpResponse callFrom(const Host &host, const std::string &name)
    {
        HttpRequest request{"GET", "/hold", {}, ""};
        request.host = "h";
        request.headers.add(kRequestField, name);
        request.headers.add(kTimeoutField, timeout);
        return send(host.settings.callers, std::move(request));
    }

    HttpResponse call(const std::string &name)
    {
        HttpRequest request{"POST", "/hold", {}, "x"};
        request.host = "h";
        request.headers.add(kRequestField, name);
        return send(front->settings.callers, std::move(request));
    }

    /** Adds a host without a backend server, which the test starts itself. The result lives as long as the mesh. */
    Host &addHost(const std::string &name, const std::string &service)
    {
        return *others.emplace_back(std::make_unique<Host>(context_, name, service, store, false));
    }

    /** Sends a request with a body of @p bodyBytes that may run once at most. */
    HttpResponse upload(const std::string &name, std::size_t bodyBytes)
    {
        HttpRequest request{"POST", "/upload", {}, std::string(bodyBytes, 'b')};
        request.host = kOnceHost;
        request.headers.add(kRequestField, name);
        return send(front->settings.callers, std::move(request));
    }

    /** Sends kHeldRequest. The result can cancel it, as a caller that disconnects does. */
    std::shared_ptr<HttpCall> sendHeld(HttpCallback callback = [](const HttpResult &) {})
    {
        HttpRequest request{"GET", "/hold", {}, ""};
        request.host = "h";
        request.headers.add(kRequestField, kHeldRequest);
        request.headers.add(kTimeoutField, timeout);
        return client_.send(front->settings.callers, std::move(request), {}, std::move(callback));
    }

    /** Sends a server's report to the daemon of @p host; returns the status of the response. */
    int report(const Host &host, const std::string &text)
    {
        return send(host.settings.checkIns, {"POST", "/", {}, text}).status;
    }

    /** Value of a counter in the metrics of @p host. */
    int counter(const Host &host, const std::string &name)
    {
        const std::string metrics = send(host.settings.metrics, {"GET", "/metrics", {}, ""}).body;
        const std::size_t line = metrics.find("\n" + name + " ");
        REQUIRE(line != std::string::npos);
        return std::stoi(metrics.substr(line + name.size() + 2));
    }

    /** Repeats a call until its response has @p status; the timeout of the test limits the wait. */
    void awaitStatus(int status)
    {
        while (call("probe").status != status) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    /** Waits until the daemon of @p host knows that the server has left; the timeout of the test limits the wait. */
    void awaitLeft(const Host &host, const std::string &server)
    {
        const auto knows = [&] {
            const HttpResponse reply =
                send(host.settings.peers, {"POST", "/control", {}, serializeExchangeRequest(DirectoryMessage())});
            const auto message = parseExchangeReply(reply.body);
            return message
                && std::any_of(message->servers.begin(), message->servers.end(), [&](const DirectoryEntry &entry) {
                       return entry.registration.name == ServerName(server)
                           && entry.registration.state == ServerState::Left;
                   });
        };
        while (!knows()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::string timeout = "20000"; ///< Of the requests of sendHeld() and callFrom(), in ms.
    std::shared_ptr<MemoryObjectStore> store = std::make_shared<MemoryObjectStore>();

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::thread worker_;
    HttpClient client_{context_};

public:
    std::unique_ptr<Host> front = std::make_unique<Host>(context_, "front-1", "front", store);
    std::unique_ptr<Host> desk = std::make_unique<Host>(context_, "desk-1", "desk", store);
    std::vector<std::unique_ptr<Host>> others;
};

} // namespace Hibiscus

#endif
