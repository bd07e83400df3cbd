#include "mesh/meshdaemon.h"

#include "core/logevent.h"
#include "core/steadyclock.h"
#include "daemon/peershandler.h"
#include "daemon/periodictimers.h"
#include "discovery/deploymentsync.h"
#include "http/eventloop.h"
#include "http/httpserver.h"
#include "mesh/checkinhandler.h"
#include "mesh/pagehandler.h"
#include "mesh/routedcallhandler.h"

#include <chrono>
#include <csignal>
#include <set>
#include <vector>

#include <asio/post.hpp>
#include <asio/signal_set.hpp>

namespace Hibiscus
{

namespace
{

constexpr Millis kAdmissionTick{10};
constexpr Millis kHealthTick{200};
constexpr Millis kTableTick{1000};
constexpr Millis kDrainTick{50};
/** Time from the start of a drain until the local server gets no new work. The requests that it has accepted by then
 * end before the process does, except for those that take longer than the rest of the grace period. */
constexpr Millis kDetachDelay{1500};
/** Time from the start of a drain until the callers listener closes. By then callers have noticed the drain through
 * their readiness probes and send no new requests. */
constexpr Millis kCallersCloseDelay{2500};
/** Part of the grace period that is reserved for the end of the process. */
constexpr Millis kShutdownReserve{400};

/** Fraction of the deployment's retry ratio that each service uses. A retried request makes its nested calls again, and
 * these add to the retries at up to three levels of services below it. */
constexpr double kRetryRatioShare = 0.25;
/** Fraction of the retry slack that is divided among the daemons. The rest is a reserve, since a daemon that knows too
 * few of the others takes too large a share. */
constexpr double kRetrySlackShare = 0.5;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

} // namespace

class MeshDaemon::Private : public ServingGate
{
public:
    Private(MeshSettings meshSettings, MeshProtocols meshProtocols);

    bool mayServe() const override;
    std::optional<ErrorKind> refusal(const ServerName &target) const override;
    bool isLeaving(const ServerName &target) const override;

    tl::expected<void, std::string> listen(const char *name, const HostAddress &address, HttpHandler &handler);
    bool adoptConfiguration(const std::string &value, StoreHistory history);
    std::optional<ServerRegistration> ownRegistration() const;
    void onCrash(const std::vector<Signature> &inFlight);
    void updateRoutingTable();
    void logServer() const;
    void serverChanged(CheckInResult result);
    void markDraining(const ServerName &name, std::int64_t serverStartedAt);
    void markLeft(const ServerName &name, std::int64_t serverStartedAt);
    ServerRegistration leftRegistration(const ServerName &name, std::int64_t serverStartedAt) const;
    void withdrawLostServer();
    Millis coldLeft() const;
    void configureAdmission();
    bool isReady() const;
    void drain();
    bool isIdle() const;
    void stop();

    MeshSettings settings;
    MeshProtocols protocols;
    SteadyClock clock;
    Guarded<DeviceRandom> random;
    SeededRandom routingRandom;
    DaemonIdentity self;
    SharedTables tables;
    Guarded<RoutingTable> routing;
    asio::io_context context{1};
    HttpClient client;
    LocalServer localServer;
    ServerHealth health;
    ServerGateway gateway;
    CallServices services;
    RoutedCallHandler calls;
    DeploymentSync deployment;
    PeersHandler peers;
    CheckInHandler checkIns;
    PageHandler readyPage;
    PageHandler metricsPage;
    std::vector<std::unique_ptr<HttpServer>> servers;
    HttpServer *callersServer = nullptr;
    PeriodicTimers timers{context};
    asio::signal_set signals;
    RouteTablePtr routes;
    std::int64_t startedAt = 0; ///< Of this process, in Unix milliseconds.
    std::uint64_t crashSequence = 0;
    bool hasMetServer = false; ///< A server has checked in with this process.
    bool draining = false;
    bool detached = false; ///< The local server gets no new work from this daemon.
    TimePoint drainStarted;
};

MeshDaemon::Private::Private(MeshSettings meshSettings, MeshProtocols meshProtocols)
    : settings(std::move(meshSettings))
    , protocols(std::move(meshProtocols))
    , routingRandom(DeviceRandom().next())
    , self{ServerName(settings.host), settings.domain, settings.peers, settings.backend,
           Incarnation(DeviceRandom().next())}
    , tables(self, clock)
    , routing(BalancerSettings{self.server, settings.domain}, clock, routingRandom)
    , client(context)
    , localServer(settings.service, settings.backend)
    , health(self, "/", client, clock)
    , gateway(self, tables, client, health, *this, *protocols.backend, clock)
    , services{context,
               clock,
               self,
               tables,
               routing,
               random,
               client,
               gateway,
               [this](const ServerView &server) { deployment.markDraining(server.name, server.startedAt); }}
    , calls(services, *protocols.callers, settings.service)
    , deployment(
          context.get_executor(), *protocols.store, client, clock, routingRandom,
          {settings.peers, protocols.configuration->key(), {}},
          {[this](const std::string &value, std::uint64_t, StoreHistory history) {
               return adoptConfiguration(value, history);
           },
           [this] { updateRoutingTable(); },
           [this](const ServerRegistration &entry) {
               if (entry.state == ServerState::Draining) {
                   markDraining(entry.name, entry.startedAt);
               } else if (entry.state == ServerState::Left) {
                   markLeft(entry.name, entry.startedAt);
               }
           },
           [this] { return ownRegistration(); },
           [this] { return tables.crashes.with([](const CrashLedger &crashes) { return crashes.exportLatest(); }); },
           [this](const std::vector<CrashReport> &reports) {
               return tables.crashes.with([&](CrashLedger &crashes) { return crashes.mergeReceived(reports); });
           }})
    , peers(
          services,
          [](const CallRequest & /*call*/, const CallCallback &callback) {
              callback(failedResult(ErrorKind::BadRequest));
          },
          [this](const std::string &body, const std::function<void(std::string)> &respond) {
              respond(deployment.handleRequest(body));
          },
          [this](const HostAddress &sender) { deployment.recordContact(sender); })
    , checkIns(context, localServer, *protocols.checkIns, settings.checkInTimeout,
               {[this](CheckInResult result) { serverChanged(result); },
                [this](RegistrationWriter::Done done) { deployment.publish(std::move(done)); },
                [this](const ServerName &name, std::int64_t serverStartedAt, RegistrationWriter::Done done) {
                    deployment.retire(leftRegistration(name, serverStartedAt), std::move(done));
                },
                [this] { deployment.announce(); }})
    , readyPage([this] {
        return HttpResponse{isReady() ? kStatusOk : kStatusUnavailable, {}, ""};
    })
    , metricsPage([this] {
        return HttpResponse{kStatusOk, {}, tables.metrics.exposition()};
    })
    , signals(context, SIGTERM, SIGINT)
    , startedAt(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
{
    gateway.notices().setLeavingCallback([this] {
        if (const std::optional<CheckIn> &server = localServer.current()) {
            markDraining(server->name, server->startedAt);
        }
    });
    health.setCallbacks([this](bool healthy) { gateway.setServerHealthy(healthy, coldLeft()); },
                        [this](const std::vector<Signature> &inFlight) { onCrash(inFlight); },
                        [this](const HttpResponse &response) { gateway.healthCheckEnded(response); });
}

bool MeshDaemon::Private::mayServe() const
{
    return routes != nullptr;
}

std::optional<ErrorKind> MeshDaemon::Private::refusal(const ServerName &target) const
{
    if (detached) {
        return ErrorKind::Draining;
    }
    // Until the directory is known, this process can't know whether the server that checked in has left.
    return deployment.hasDirectory() ? localServer.refusal(target) : std::optional(ErrorKind::Misdirected);
}

bool MeshDaemon::Private::isLeaving(const ServerName &target) const
{
    return localServer.isLeaving(target);
}

tl::expected<void, std::string> MeshDaemon::Private::listen(const char *name, const HostAddress &address,
                                                            HttpHandler &handler)
{
    HttpServerSettings serverSettings;
    serverSettings.address = address;
    servers.push_back(std::make_unique<HttpServer>(context, serverSettings, handler));
    const auto opened = servers.back()->open();
    if (!opened) {
        const std::string reason = std::string(name) + " listener: " + opened.error();
        logEvent(LogEvent::ListenerFailed, reason);
        return tl::unexpected(reason);
    }
    return {};
}

/** A configuration has a version of its own, which outlasts the histories of the store. One of the version in force is
 * taken if it was written after the store had lost that. */
bool MeshDaemon::Private::adoptConfiguration(const std::string &value, StoreHistory history)
{
    auto decoded = protocols.configuration->decode(value);
    if (!decoded) {
        logEvent(LogEvent::ConfigurationRejected, decoded.error());
        return false;
    }
    if (routes) {
        const ConfigVersion inForce = routes->configuration().version;
        const bool replacesLost = decoded->version == inForce && history == StoreHistory::Later;
        if (decoded->version <= inForce && !replacesLost) {
            return false;
        }
    }
    routes = std::make_shared<const RouteTable>(std::move(*decoded));
    const RouteConfiguration &configuration = routes->configuration();
    logEvent(LogEvent::ConfigurationAdopted,
             "version " + std::to_string(configuration.version.value()) + " with "
                 + std::to_string(configuration.routes.size()) + " routes");
    if (const ServiceProfile *profile = routes->service(settings.service)) {
        health.setHealthPath(profile->healthPath);
    }
    calls.setRoutes(routes);
    configureAdmission();
    return true;
}

void MeshDaemon::Private::onCrash(const std::vector<Signature> &inFlight)
{
    logEvent(LogEvent::ServerCrashed,
             settings.backend.value() + " crashed with " + std::to_string(inFlight.size()) + " requests in flight");
    const CrashReportId id{self.incarnation, ++crashSequence};
    const auto quarantined = tables.crashes.with([&](CrashLedger &crashes) {
        crashes.recordCrash(inFlight, id);
        return crashes.quarantined();
    });
    for (const Signature &signature : quarantined) {
        logEvent(LogEvent::SignatureQuarantined, "signature " + std::to_string(signature.value()));
    }
    deployment.announce();
}

void MeshDaemon::Private::configureAdmission()
{
    const int slots = localServer.current() ? localServer.current()->slots : 1;
    const int classes = routes ? routes->priorityCount() : 1;
    tables.admission.with([&](AdmissionController &admission) {
        admission.configure(AdmissionSettings{slots, classes});
    });
}

void MeshDaemon::Private::updateRoutingTable()
{
    RoutingTable::Services byService;
    std::size_t serverCount = 0;
    for (const auto &[name, entry] : deployment.directory().entries()) {
        const ServerRegistration &server = entry.registration;
        if (server.state == ServerState::Left) {
            continue;
        }
        ++serverCount;
        byService[server.service].push_back({name, server.daemon, server.incarnation, server.domain,
                                             server.state != ServerState::Ready, server.startedAt, server.slots});
    }
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, serverCount));
    const RetryBudgetSettings &budget = settings.retryBudget;
    routing.with([&](RoutingTable &table) {
        table.update(byService);
        table.setRetryLimits(budget.ratio * kRetryRatioShare, budget.slack * kRetrySlackShare / daemons);
    });
}

void MeshDaemon::Private::logServer() const
{
    const std::optional<CheckIn> &server = localServer.current();
    if (!server) {
        logEvent(LogEvent::ServerChanged, "the local server has left");
        return;
    }
    logEvent(LogEvent::ServerChanged, "",
             {{"server", server->name.value()},
              {"startedAt", server->startedAt},
              {"sequence", server->sequence},
              {"slots", server->slots},
              {"state", serverStateName(server->state)}});
}

void MeshDaemon::Private::serverChanged(CheckInResult result)
{
    logServer();
    if (result == CheckInResult::Started && std::exchange(hasMetServer, true)) {
        gateway.notices().serverReplaced();
    }
    if (localServer.current()) {
        health.serverCheckedIn(result == CheckInResult::Started);
        deployment.withdrawAllExcept(localServer.current()->name);
    }
    configureAdmission();
    gateway.recheckQueue();
}

/** Stops new work for the local server if it is the process that started at @p serverStartedAt. */
void MeshDaemon::Private::markDraining(const ServerName &name, std::int64_t serverStartedAt)
{
    if (localServer.markDraining(name, serverStartedAt)) {
        serverChanged(CheckInResult::Changed);
        deployment.publish();
    }
}

/** Stops the use of the local server if it is the process that started at @p serverStartedAt, or an earlier one. */
void MeshDaemon::Private::markLeft(const ServerName &name, std::int64_t serverStartedAt)
{
    const bool hadServer = localServer.current().has_value();
    localServer.leave(name, serverStartedAt);
    if (hadServer && !localServer.current()) {
        serverChanged(CheckInResult::Changed);
    }
}

ServerRegistration MeshDaemon::Private::leftRegistration(const ServerName &name, std::int64_t serverStartedAt) const
{
    constexpr int kNoSlots = 1; // The least that a registration may state.
    return {name,      settings.service, settings.domain,  settings.peers, self.incarnation, serverStartedAt,
            startedAt, kNoSlots,         ServerState::Left};
}

/** Withdraws the entries of a server that has refused connections for so long that it counts as lost for good. A server
 * that is only silent or slow still accepts connections. */
void MeshDaemon::Private::withdrawLostServer()
{
    if (health.downFor() < settings.serverLostAfter) {
        return;
    }
    if (localServer.current()) {
        logEvent(LogEvent::ServerChanged, localServer.current()->name.value() + " counts as lost for good");
        localServer.forget();
    }
    deployment.withdrawAllOwn();
}

std::optional<ServerRegistration> MeshDaemon::Private::ownRegistration() const
{
    const std::optional<CheckIn> &server = localServer.current();
    if (!server) {
        return std::nullopt;
    }
    const ServerState state = detached && server->state == ServerState::Ready ? ServerState::Detached : server->state;
    return ServerRegistration{server->name,      server->service, settings.domain, settings.peers, self.incarnation,
                              server->startedAt, startedAt,       server->slots,   state};
}

/** Time for which the local server remains slow. A server that this process meets for the first time may have been
 * running for long, so it is asked rather than assumed. */
Millis MeshDaemon::Private::coldLeft() const
{
    return localServer.current() ? localServer.current()->coldLeft : Millis{0};
}

bool MeshDaemon::Private::isReady() const
{
    return routes != nullptr && deployment.hasDirectory() && !draining;
}

void MeshDaemon::Private::drain()
{
    if (draining) {
        return;
    }
    draining = true;
    drainStarted = clock.now();
    logEvent(LogEvent::DaemonDraining, settings.host);
    calls.drain();
    timers.repeat(kDrainTick, [this] {
        const Millis elapsed = clock.now() - drainStarted;
        if (!detached && elapsed >= kDetachDelay) {
            detached = true;
            gateway.recheckQueue();
            deployment.publish();
        }
        const bool closesListener = elapsed >= kCallersCloseDelay;
        if (closesListener) {
            // The peers listener stays open, since other daemons query the outcome of their attempts until the end.
            callersServer->close();
            callersServer->closeIdleConnections();
        }
        if ((closesListener && isIdle()) || elapsed >= settings.gracePeriod - kShutdownReserve) {
            context.stop();
        }
    });
}

bool MeshDaemon::Private::isIdle() const
{
    return gateway.inFlight() + calls.activeCalls() + client.unfinishedUploads() == 0;
}

void MeshDaemon::Private::stop()
{
    deployment.stop();
    logEvent(LogEvent::DaemonStopped, settings.host);
}

MeshDaemon::MeshDaemon(MeshSettings settings, MeshProtocols protocols)
    : d_(std::make_unique<Private>(std::move(settings), std::move(protocols)))
{
}

MeshDaemon::~MeshDaemon() = default;

tl::expected<void, std::string> MeshDaemon::start()
{
    const MeshSettings &settings = d_->settings;
    const std::tuple<const char *, HostAddress, HttpHandler *> listeners[] = {
        {"callers", settings.callers, &d_->calls},       {"ready", settings.ready, &d_->readyPage},
        {"check-in", settings.checkIns, &d_->checkIns},  {"peers", settings.peers, &d_->peers},
        {"metrics", settings.metrics, &d_->metricsPage},
    };
    for (const auto &[name, address, handler] : listeners) {
        if (address.value().empty()) {
            continue;
        }
        if (auto opened = d_->listen(name, address, *handler); !opened) {
            return opened;
        }
        if (handler == &d_->calls) {
            d_->callersServer = d_->servers.back().get();
        }
    }
    d_->timers.repeat(kAdmissionTick, [this] { d_->gateway.tick(); });
    d_->timers.repeat(kHealthTick, [this] { d_->health.tick(); });
    d_->timers.repeat(kTableTick, [this] {
        d_->withdrawLostServer();
        d_->tables.attempts.with([](AttemptTable &attempts) { attempts.tick(); });
        d_->tables.crashes.with([](CrashLedger &crashes) { crashes.tick(); });
    });
    d_->signals.async_wait([this](const asio::error_code &error, int) {
        if (!error) {
            d_->drain();
        }
    });
    // Settings are read only at the start, so SIGHUP has nothing to reload; its default action would end the process.
    std::signal(SIGHUP, SIG_IGN);
    d_->deployment.start();
    logEvent(LogEvent::DaemonStarted,
             settings.host + " incarnation " + std::to_string(d_->self.incarnation.value()) + ", callers "
                 + settings.callers.value() + ", peers " + settings.peers.value());
    return {};
}

void MeshDaemon::drain()
{
    asio::post(d_->context, [this] { d_->drain(); });
}

void MeshDaemon::stop()
{
    d_->context.stop();
}

void MeshDaemon::run()
{
    runEventLoop(d_->context);
    d_->stop();
}

} // namespace Hibiscus
