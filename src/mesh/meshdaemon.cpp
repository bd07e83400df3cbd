#include "mesh/meshdaemon.h"

#include "core/boottimeclock.h"
#include "core/logevent.h"
#include "core/steadyclock.h"
#include "daemon/peershandler.h"
#include "daemon/periodictimers.h"
#include "discovery/deploymentsync.h"
#include "http/eventloop.h"
#include "mesh/adoptedconfiguration.h"
#include "mesh/allotmentservice.h"
#include "mesh/checkinhandler.h"
#include "mesh/clientguard.h"
#include "mesh/directoryroutes.h"
#include "mesh/drainsequence.h"
#include "mesh/localregistration.h"
#include "mesh/meshlisteners.h"
#include "mesh/meshpeershandler.h"
#include "mesh/pagehandler.h"
#include "mesh/routedcallhandler.h"

#include <csignal>
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

constexpr const char *kCallers = "callers"; ///< Name of the listener.
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

    bool adoptConfiguration(const std::string &value, StoreHistory history);
    void onCrash(const std::vector<Signature> &inFlight);
    void serverChanged(CheckInResult result);
    void markDraining(const ServerName &name, std::int64_t serverStartedAt);
    void markLeft(const ServerName &name, std::int64_t serverStartedAt);
    void withdrawLostServer();
    Millis coldLeft() const;
    const ServerDirectory &knownDirectory() const;
    void configureAdmission();
    bool isReady() const;
    bool isIdle() const;
    DrainSequence::Steps drainSteps();
    void stop();

    MeshSettings settings;
    MeshProtocols protocols;
    AdoptedConfiguration configuration;
    SteadyClock clock;
    BootTimeClock bootTimeClock;
    Guarded<DeviceRandom> random;
    SeededRandom routingRandom;
    DaemonIdentity self;
    SharedTables tables;
    Guarded<RoutingTable> routing;
    ClientBudget clientBudget; ///< Outlives the connections.
    asio::io_context context{1};
    HttpClient client;
    LocalServer localServer;
    LocalRegistration registration;
    ServerHealth health;
    ServerGateway gateway;
    CallServices services;
    AllotmentService allotments;
    RoutedCallHandler calls;
    DeploymentSync deployment;
    PeersHandler peers;
    MeshPeersHandler meshPeers{allotments, peers};
    CheckInHandler checkIns;
    PageHandler readyPage;
    PageHandler metricsPage;
    MeshListeners listeners;
    PeriodicTimers timers{context};
    DrainSequence drainSequence;
    asio::signal_set signals;
    std::uint64_t crashSequence = 0;
    bool hasMetServer = false; ///< A server has checked in with this process.
};

MeshDaemon::Private::Private(MeshSettings meshSettings, MeshProtocols meshProtocols)
    : settings(std::move(meshSettings))
    , protocols(std::move(meshProtocols))
    , configuration(*protocols.configuration)
    , routingRandom(DeviceRandom().next())
    , self{ServerName(settings.host), settings.domain, settings.peers, settings.backend,
           Incarnation(DeviceRandom().next())}
    , tables(self, clock)
    , routing(BalancerSettings{self.server, settings.domain}, clock, routingRandom)
    , clientBudget(clientLimits(settings.clients, maximumDescriptors()), clock)
    , client(context)
    , localServer(settings.service, settings.backend)
    , registration(settings, localServer, self.incarnation)
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
    , allotments(context, client, self, bootTimeClock, routingRandom)
    , calls(services, *protocols.callers, settings.service)
    , deployment(
          context.get_executor(), *protocols.store, client, clock, routingRandom,
          {settings.peers, protocols.configuration->key(), {}, true},
          {[this](const std::string &value, std::uint64_t, StoreHistory history) {
               return adoptConfiguration(value, history);
           },
           [this] {
               routing.with(
                   [this](RoutingTable &table) { updateRoutes(table, deployment.directory(), settings.retryBudget); });
               allotments.setDirectory(knownDirectory());
           },
           [this](const ServerRegistration &entry) {
               if (entry.state == ServerState::Draining) {
                   markDraining(entry.name, entry.startedAt);
               } else if (entry.state == ServerState::Left) {
                   markLeft(entry.name, entry.startedAt);
               }
           },
           [this] { return registration.present(drainSequence.isDetached()); },
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
               {[this] { deployment.recordCheckIn(); }, [this](CheckInResult result) { serverChanged(result); },
                [this](RegistrationWriter::Done done) { deployment.publish(std::move(done)); },
                [this](const ServerName &name, std::int64_t serverStartedAt, RegistrationWriter::Done done) {
                    deployment.retire(registration.left(name, serverStartedAt), std::move(done));
                },
                [this] { deployment.announce(); }})
    , readyPage([this] {
        return HttpResponse{isReady() ? kStatusOk : kStatusUnavailable, {}, ""};
    })
    , metricsPage([this] {
        return HttpResponse{
            kStatusOk, {}, tables.metrics.exposition() + allotments.exposition() + clientMetrics(clientBudget)};
    })
    , listeners(context, clientBudget)
    , drainSequence(timers, clock, settings.gracePeriod, drainSteps())
    , signals(context, SIGTERM, SIGINT)
{
    calls.setAllotmentGate(&allotments);
    gateway.notices().setLeavingCallback([this] {
        if (const std::optional<CheckIn> &server = localServer.current()) {
            markDraining(server->name, server->startedAt);
        }
    });
    health.setCallbacks([this](bool healthy) { gateway.setServerHealthy(healthy, coldLeft()); },
                        [this](const std::vector<Signature> &inFlight) { onCrash(inFlight); },
                        [this](const HttpResponse &response) { gateway.healthCheckEnded(response); });
}

/** Empty until the other daemons are known: a part of them could pass for all. */
const ServerDirectory &MeshDaemon::Private::knownDirectory() const
{
    static const ServerDirectory unknown;
    return deployment.hasDirectory() ? deployment.directory() : unknown;
}

bool MeshDaemon::Private::mayServe() const
{
    return configuration.routes() != nullptr;
}

std::optional<ErrorKind> MeshDaemon::Private::refusal(const ServerName &target) const
{
    if (drainSequence.isDetached()) {
        return ErrorKind::Draining;
    }
    return deployment.knowsLeaves() ? localServer.refusal(target) : std::optional(ErrorKind::Misdirected);
}

bool MeshDaemon::Private::isLeaving(const ServerName &target) const
{
    return localServer.isLeaving(target);
}

bool MeshDaemon::Private::adoptConfiguration(const std::string &value, StoreHistory history)
{
    if (!configuration.adopt(value, history)) {
        return false;
    }
    const RouteTablePtr &routes = configuration.routes();
    if (const ServiceProfile *profile = routes->service(settings.service)) {
        health.setHealthPath(profile->healthPath);
    }
    listeners.setLimits(routes->configuration().limits);
    calls.setRoutes(routes);
    allotments.setTeams(routes->configuration().teams.all(), knownDirectory());
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
    const RouteTablePtr &routes = configuration.routes();
    const int classes = routes ? routes->ranks().count() : 1;
    tables.admission.with([&](AdmissionController &admission) {
        admission.configure(AdmissionSettings{slots, classes});
    });
}

void MeshDaemon::Private::serverChanged(CheckInResult result)
{
    registration.log();
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

/** Time for which the local server remains slow. A server that this process meets for the first time may have been
 * running for long, so it is asked rather than assumed. */
Millis MeshDaemon::Private::coldLeft() const
{
    return localServer.current() ? localServer.current()->coldLeft : Millis{0};
}

bool MeshDaemon::Private::isReady() const
{
    return configuration.routes() != nullptr && deployment.hasDirectory() && !drainSequence.hasBegun();
}

/** Whether nothing is in progress; a response is, until its client has read all of it. The callers listener is closed.
 */
bool MeshDaemon::Private::isIdle() const
{
    const HeldBytes held = clientBudget.held();
    const bool isWriting = held.queued + held.unread > 0;
    return !isWriting && listeners.connectionCount(kCallers) == 0
        && gateway.inFlight() + calls.activeCalls() + client.unfinishedUploads() == 0;
}

DrainSequence::Steps MeshDaemon::Private::drainSteps()
{
    return {[this] {
                logEvent(LogEvent::DaemonDraining, settings.host);
                calls.drain();
            },
            [this] {
                gateway.recheckQueue();
                deployment.publish();
            },
            [this] {
                // The peers listener stays open, since other daemons query the outcome of their attempts until the end.
                listeners.close(kCallers);
            },
            [this] { return isIdle(); }, [this] { context.stop(); }};
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
    const std::tuple<const char *, HostAddress, HttpHandler *> needed[] = {
        {kCallers, settings.callers, &d_->calls},        {"ready", settings.ready, &d_->readyPage},
        {"check-in", settings.checkIns, &d_->checkIns},  {"peers", settings.peers, &d_->meshPeers},
        {"metrics", settings.metrics, &d_->metricsPage},
    };
    for (const auto &[name, address, handler] : needed) {
        if (address.value().empty()) {
            continue;
        }
        const bool isForCallers = handler == &d_->calls || handler == &d_->metricsPage;
        const ClientShare share = isForCallers ? ClientShare::Callers : ClientShare::Inner;
        if (auto result = d_->listeners.open(name, address, share, *handler); !result) {
            return result;
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
            d_->drainSequence.begin();
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
    asio::post(d_->context, [this] { d_->drainSequence.begin(); });
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
