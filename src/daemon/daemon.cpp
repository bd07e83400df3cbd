#include "daemon/daemon.h"

#include "core/logevent.h"
#include "core/steadyclock.h"
#include "daemon/callcoordinator.h"
#include "daemon/callershandler.h"
#include "daemon/callhandler.h"
#include "daemon/contextbackendprotocol.h"
#include "daemon/peershandler.h"
#include "daemon/periodictimers.h"
#include "daemon/statuspage.h"
#include "discovery/deploymentsync.h"
#include "http/eventloop.h"
#include "http/httpserver.h"
#include "platform/httpobjectstore.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>

namespace Hibiscus
{

namespace
{

constexpr const char *kConfigurationKey = "config/deployment";
constexpr Millis kAdmissionTick{10};
constexpr Millis kHealthTick{200};
constexpr Millis kTableTick{1000};

/** Whether @p configuration was written later than @p inForce. The store's versions don't tell across its histories,
 * but each configuration lists the changes that led to it. */
bool isLater(const Configuration &configuration, const Configuration &inForce, StoreHistory history)
{
    switch (history) {
    case StoreHistory::Same:
        return true;
    case StoreHistory::Later:
        return !isPredecessor(configuration, inForce);
    case StoreHistory::Earlier:
        return isPredecessor(inForce, configuration);
    }
    return false;
}

/** Time of day in Unix milliseconds. */
std::int64_t unixTimeNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

StoreTransportSettings storeSettings(const DaemonSettings &settings)
{
    StoreTransportSettings result;
    result.address = settings.platform;
    // Connects from the host address that the peers use, so that the platform sees the same address.
    const std::string &peers = settings.peers.value();
    result.localAddress = peers.substr(0, peers.rfind(':'));
    return result;
}

} // namespace

class Daemon::Private : public ServingGate
{
public:
    explicit Private(DaemonSettings daemonSettings);

    bool mayServe() const override;
    std::optional<ErrorKind> refusal(const ServerName &target) const override;
    bool isLeaving(const ServerName &target) const override;

    tl::expected<void, std::string> openListener(const char *name, HttpServer &server);
    void startTimers();
    bool installConfiguration(const std::string &text, std::uint64_t version, StoreHistory history);
    void updateRoutes();
    std::optional<ServerRegistration> ownRegistration() const;
    void checkSuperseded(const ServerRegistration &entry);
    void handleControl(std::string body, std::function<void(std::string)> respond);
    void onCrash(const std::vector<Signature> &inFlight);
    void onServerStarted();
    void onServerLeaving();
    void expireTables();
    std::string statusPage();
    std::size_t inFlight() const;
    void drain();

    DaemonSettings settings;
    SteadyClock clock;
    Guarded<DeviceRandom> random;
    SeededRandom routingRandom;
    DaemonIdentity self;
    SharedTables tables;
    Guarded<RoutingTable> routing;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    HttpClient client;
    HttpObjectStore store;
    ServerHealth health;
    SeededRandom exchangeRandom;
    asio::strand<asio::io_context::executor_type> strand; ///< Serializes the use of deployment.
    DeploymentSync deployment;
    ContextBackendProtocol protocol;
    std::unique_ptr<ServerGateway> gateway;
    std::unique_ptr<CallServices> services;
    std::unique_ptr<CallCoordinator> coordinator;
    std::unique_ptr<CallHandler> calls;
    std::unique_ptr<CallersHandler> callersHandler;
    std::unique_ptr<PeersHandler> peersHandler;
    std::unique_ptr<HttpServer> callersServer;
    std::unique_ptr<HttpServer> localServer;
    std::unique_ptr<HttpServer> peersServer;
    PeriodicTimers timers{context};
    std::vector<std::thread> workers;
    std::atomic<bool> draining{false};
    std::atomic<bool> superseded{false};
    std::atomic<std::uint64_t> crashSequence{0};
    std::int64_t startedAt = 0; ///< Of this process, in Unix milliseconds.
    std::atomic<std::int64_t> serverStartedAt{0}; ///< Of the local server, as far as this process has noticed.
    std::atomic<bool> serverLeaving{false}; ///< The local server has said so.
};

Daemon::Private::Private(DaemonSettings daemonSettings)
    : settings(std::move(daemonSettings))
    , routingRandom(DeviceRandom().next())
    , self{settings.server, settings.domain, settings.peers, settings.backend, Incarnation(DeviceRandom().next())}
    , tables(self, clock)
    , routing(BalancerSettings{settings.server, settings.domain}, clock, routingRandom)
    , context(settings.workers)
    , work(asio::make_work_guard(context))
    , client(context)
    , store(storeSettings(settings))
    , health(self, settings.healthPath, client, clock)
    , exchangeRandom(DeviceRandom().next())
    , strand(asio::make_strand(context))
    , deployment(
          strand, store, client, clock, exchangeRandom, {settings.peers, kConfigurationKey, settings.seeds},
          {[this](const std::string &text, std::uint64_t version, StoreHistory history) {
               return installConfiguration(text, version, history);
           },
           [this] { updateRoutes(); }, [this](const ServerRegistration &entry) { checkSuperseded(entry); },
           [this] { return ownRegistration(); },
           [this] { return tables.crashes.with([](const CrashLedger &crashes) { return crashes.exportLatest(); }); },
           [this](const std::vector<CrashReport> &reports) {
               return tables.crashes.with([&](CrashLedger &crashes) { return crashes.mergeReceived(reports); });
           }})
    , startedAt(unixTimeNow())
{
    gateway = std::make_unique<ServerGateway>(self, tables, client, health, *this, protocol, clock);
    serverStartedAt = startedAt;
    gateway->notices().setLeavingCallback([this] { onServerLeaving(); });
    health.setCallbacks(
        [this](bool healthy) {
            if (healthy) {
                onServerStarted();
            }
            gateway->setServerHealthy(healthy);
        },
        [this](const std::vector<Signature> &inFlight) { onCrash(inFlight); },
        [this](const HttpResponse &response) { gateway->healthCheckEnded(response); });
    services =
        std::make_unique<CallServices>(CallServices{context, clock, self, tables, routing, random, client, *gateway});
    coordinator = std::make_unique<CallCoordinator>(*services);
    calls = std::make_unique<CallHandler>(*services, *coordinator, *this);
    callersHandler = std::make_unique<CallersHandler>(
        *services, *calls, CallersHandler::Callbacks{[this] { return statusPage(); }, [this] { drain(); }});
    peersHandler = std::make_unique<PeersHandler>(
        *services,
        [this](CallRequest call, CallCallback callback) { coordinator->run(std::move(call), std::move(callback)); },
        [this](std::string body, std::function<void(std::string)> respond) {
            handleControl(std::move(body), std::move(respond));
        });
    callersServer = std::make_unique<HttpServer>(context, HttpServerSettings{settings.callers}, *callersHandler);
    localServer = std::make_unique<HttpServer>(context, HttpServerSettings{settings.local}, *calls);
    peersServer = std::make_unique<HttpServer>(context, HttpServerSettings{settings.peers}, *peersHandler);
}

tl::expected<void, std::string> Daemon::Private::openListener(const char *name, HttpServer &server)
{
    const auto address = server.open();
    if (!address) {
        const std::string reason = std::string(name) + " listener: " + address.error();
        logEvent(LogEvent::ListenerFailed, reason);
        return tl::unexpected(reason);
    }
    return {};
}

void Daemon::Private::startTimers()
{
    timers.repeat(kAdmissionTick, [this] { gateway->tick(); });
    timers.repeat(kHealthTick, [this] { health.tick(); });
    timers.repeat(kTableTick, [this] { expireTables(); });
}

bool Daemon::Private::mayServe() const
{
    return tables.configuration.current() != nullptr;
}

std::optional<ErrorKind> Daemon::Private::refusal(const ServerName &target) const
{
    if (!mayServe()) {
        return ErrorKind::RulesNotFresh;
    }
    if (target != self.server) {
        return ErrorKind::Misdirected;
    }
    return serverLeaving ? std::optional(ErrorKind::Draining) : std::nullopt;
}

bool Daemon::Private::isLeaving(const ServerName &target) const
{
    return target == self.server && serverLeaving;
}

bool Daemon::Private::installConfiguration(const std::string &text, std::uint64_t version, StoreHistory history)
{
    auto parsed = parseConfiguration(text);
    if (!parsed) {
        logEvent(LogEvent::ConfigurationRejected,
                 "version " + std::to_string(version) + ": " + formatConfigErrors(parsed.error()));
        return false;
    }
    const ConfigurationPtr inForce = tables.configuration.current();
    if (inForce && !isLater(*parsed, *inForce, history)) {
        return false;
    }
    parsed->version = ConfigVersion(version);
    auto configuration = std::make_shared<Configuration>(std::move(*parsed));
    const BackendServerEntry *own = findServer(configuration->inventory, settings.server);
    const AdmissionSettings admission{own != nullptr ? own->slots : 1,
                                      static_cast<int>(configuration->rules.classes.size())};
    tables.configuration.install(std::move(configuration));
    tables.admission.with([&](AdmissionController &controller) { controller.configure(admission); });
    logEvent(LogEvent::ConfigurationAdopted, "version " + std::to_string(version));
    updateRoutes();
    deployment.publish();
    return true;
}

void Daemon::Private::updateRoutes()
{
    const ConfigurationPtr configuration = tables.configuration.current();
    if (!configuration) {
        return;
    }
    RoutingTable::Services servers;
    for (const auto &[name, entry] : deployment.directory().entries()) {
        if (entry.registration.state == ServerState::Left) {
            continue;
        }
        const BackendServerEntry *listed = findServer(configuration->inventory, name);
        if (listed != nullptr) {
            servers[listed->service].push_back({name, entry.registration.daemon, entry.registration.incarnation,
                                                listed->domain, entry.registration.state != ServerState::Ready});
        }
    }
    routing.with([&](RoutingTable &table) { table.update(servers); });
}

std::optional<ServerRegistration> Daemon::Private::ownRegistration() const
{
    const ConfigurationPtr configuration = tables.configuration.current();
    const BackendServerEntry *own = configuration ? findServer(configuration->inventory, settings.server) : nullptr;
    if (own == nullptr) {
        return std::nullopt;
    }
    return ServerRegistration{self.server,
                              own->service,
                              settings.domain,
                              settings.peers,
                              self.incarnation,
                              serverStartedAt,
                              startedAt,
                              std::max(1, own->slots),
                              draining || serverLeaving ? ServerState::Draining : ServerState::Ready};
}

void Daemon::Private::checkSuperseded(const ServerRegistration &entry)
{
    if (entry.name == self.server && entry.incarnation != self.incarnation && entry.daemonStartedAt > startedAt) {
        superseded = true;
    }
}

void Daemon::Private::handleControl(std::string body, std::function<void(std::string)> respond)
{
    asio::post(strand, [this, body = std::move(body), respond = std::move(respond)] {
        respond(deployment.handleRequest(body));
    });
}

void Daemon::Private::onCrash(const std::vector<Signature> &inFlight)
{
    const CrashReportId id{self.incarnation, ++crashSequence};
    const auto quarantined = tables.crashes.with([&](CrashLedger &crashes) {
        crashes.recordCrash(inFlight, id);
        return crashes.quarantined();
    });
    logEvent(LogEvent::ServerCrashed,
             self.server.value() + " crashed with " + std::to_string(inFlight.size()) + " requests in flight");
    for (const Signature &signature : quarantined) {
        logEvent(LogEvent::SignatureQuarantined, "signature " + std::to_string(signature.value()));
    }
    asio::post(strand, [this] { deployment.announce(); });
}

void Daemon::Private::onServerStarted()
{
    gateway->notices().serverReplaced();
    serverStartedAt = unixTimeNow();
    if (serverLeaving.exchange(false)) {
        asio::post(strand, [this] { deployment.publish(); });
    }
}

void Daemon::Private::onServerLeaving()
{
    if (serverLeaving.exchange(true)) {
        return;
    }
    logEvent(LogEvent::ServerChanged, self.server.value() + " is leaving");
    gateway->recheckQueue();
    asio::post(strand, [this] { deployment.publish(); });
}

void Daemon::Private::expireTables()
{
    tables.arbiter.with([](Arbiter &arbiter) { arbiter.tick(); });
    tables.attempts.with([](AttemptTable &attempts) { attempts.tick(); });
    tables.crashes.with([](CrashLedger &crashes) { crashes.tick(); });
}

std::string Daemon::Private::statusPage()
{
    return formatStatusPage({self, tables, routing, draining, health.healthy(), inFlight()});
}

std::size_t Daemon::Private::inFlight() const
{
    return gateway->inFlight() + static_cast<std::size_t>(calls->activeCalls()) + client.unfinishedUploads();
}

void Daemon::Private::drain()
{
    if (draining.exchange(true)) {
        return;
    }
    logEvent(LogEvent::DaemonDraining, self.server.value());
    calls->drain();
    tables.admission.with([](AdmissionController &admission) { admission.drain(); });
    asio::post(strand, [this] { deployment.publish(); });
}

Daemon::Daemon(DaemonSettings settings)
    : d_(std::make_unique<Private>(std::move(settings)))
{
}

Daemon::~Daemon()
{
    stop();
}

tl::expected<void, std::string> Daemon::start()
{
    for (int i = 0; i < d_->settings.workers; ++i) {
        d_->workers.emplace_back([this] { runEventLoop(d_->context); });
    }
    const std::pair<const char *, HttpServer *> listeners[] = {
        {"callers", d_->callersServer.get()},
        {"local", d_->localServer.get()},
        {"peers", d_->peersServer.get()},
    };
    for (const auto &[name, server] : listeners) {
        if (auto opened = d_->openListener(name, *server); !opened) {
            return opened;
        }
    }
    d_->startTimers();
    d_->deployment.start();
    logEvent(LogEvent::DaemonStarted,
             d_->self.server.value() + " incarnation " + std::to_string(d_->self.incarnation.value()) + ", callers "
                 + d_->settings.callers.value() + ", peers " + d_->settings.peers.value());
    return {};
}

void Daemon::drain()
{
    d_->drain();
}

std::size_t Daemon::inFlight() const
{
    return d_->inFlight();
}

bool Daemon::superseded() const
{
    return d_->superseded;
}

void Daemon::stop()
{
    if (d_->workers.empty()) {
        return;
    }
    d_->deployment.stop();
    d_->callersServer->close();
    d_->localServer->close();
    d_->peersServer->close();
    d_->work.reset();
    d_->context.stop();
    for (std::thread &worker : d_->workers) {
        worker.join();
    }
    d_->workers.clear();
    logEvent(LogEvent::DaemonStopped, d_->self.server.value());
}

} // namespace Hibiscus
