#include "mesh/autotests/testmesh.h"

#include "core/steadyclock.h"
#include "mesh/routedcallhandler.h"

#include <vector>

using namespace Hibiscus;

namespace
{

constexpr const char *kPublicHost = "public";

/** Gate that decides as the test says, at once or when the test asks it to. */
class FakeGate : public AllotmentGate
{
public:
    void admit(const TeamName &team, Callback callback) override
    {
        ++asked;
        CHECK(team == TeamName("red"));
        if (isLate) {
            waiting = std::move(callback);
            return;
        }
        callback(decision);
    }
    void giveBack(const TeamName & /*team*/) override
    {
        ++givenBack;
    }

    AllotmentDecision decision;
    bool isLate = false;
    Callback waiting;
    int asked = 0;
    int givenBack = 0;
};

/** Backend server that remembers the last request and holds the one named kHeldRequest. */
class RecordingServer : public HttpHandler
{
public:
    void handle(HttpRequest request, HttpResponder respond) override
    {
        ++runs;
        last = request.headers;
        if (request.headers.find(kRequestField) == kHeldRequest) {
            held = std::move(respond);
            return;
        }
        respond({200, {}, ""});
    }

    HttpHeaders last;
    HttpResponder held;
    int runs = 0;
};

/** The caller's side of one daemon, beside a backend server. */
class Door : public ServingGate
{
public:
    Door()
    {
        const auto opened = server.open();
        REQUIRE(opened.has_value());
        self.backend = *opened;
        tables.admission.with([](AdmissionController &admission) { admission.configure({kSlots, 1}); });
        serveWith(true);
        handler.setAllotmentGate(&gate);
    }

    bool mayServe() const override
    {
        return true;
    }
    std::optional<ErrorKind> refusal(const ServerName & /*target*/) const override
    {
        return std::nullopt;
    }
    bool isLeaving(const ServerName & /*target*/) const override
    {
        return false;
    }

    /** Makes the routing table know the local server, or no server at all. */
    void serveWith(bool hasServer)
    {
        RoutingTable::Services known;
        if (hasServer) {
            known[ServiceName("desk")] = {{self.server, self.peers, self.incarnation, self.domain}};
        }
        routing.with([&](RoutingTable &table) { table.update(known); });
    }

    /** Puts a configuration in force in which team red has @p keys. */
    void configure(const std::vector<std::string> &keys)
    {
        Team team;
        team.name = TeamName("red");
        for (const std::string &key : keys) {
            team.keys.emplace_back(key);
        }
        configureTeams(TeamTable({team}));
    }

    void configureTeams(TeamTable teams)
    {
        RouteConfiguration configuration;
        Route route;
        route.name = "desk";
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = {{ServiceName("desk"), 1}};
        route.timeout = timeout;
        route.latencyTarget = Millis{100};
        route.idempotent = true;
        configuration.routes.push_back(route);
        route.name = "open";
        route.host = kPublicHost;
        route.isPublic = true;
        configuration.routes.push_back(route);
        configuration.teams = std::move(teams);
        handler.setRoutes(std::make_shared<const RouteTable>(std::move(configuration)));
    }

    /** Sends a request without waiting; its status goes to status[name]. */
    void post(const std::string &name, const std::string &key, const std::string &host = "h")
    {
        HttpRequest request{"GET", "/", {}, "", kConnection};
        request.host = host;
        request.headers.add(kRequestField, name);
        if (!key.empty()) {
            request.headers.add("Authorization", "Bearer " + key);
        }
        status[name] = 0;
        handler.handle(std::move(request), [this, name](const HttpResponse &response) {
            status[name] = response.status;
            retryAfter = Millis{std::stod(std::string(response.headers.find(kRetryAfterField).value_or("0")))};
        });
    }

    /** Status of the response; 0 if there is none within the bound. */
    int send(const std::string &name, const std::string &key, const std::string &host = "h")
    {
        post(name, key, host);
        runUntil([&] { return status[name] != 0; });
        return status[name];
    }

    template<class Condition>
    void runUntil(Condition condition)
    {
        constexpr auto kBound = std::chrono::seconds(20);
        const auto end = std::chrono::steady_clock::now() + kBound;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(std::chrono::milliseconds(1));
            context.restart();
        }
        CHECK(condition());
    }

    static constexpr std::uint64_t kConnection = 7;

    asio::io_context context;
    RecordingServer backend;
    HttpServer server{context, HttpServerSettings{HostAddress("127.0.0.1:0")}, backend};
    SteadyClock clock;
    DaemonIdentity self{ServerName("desk-1"), FailureDomainName("a"), HostAddress("127.0.0.1:1"), HostAddress(),
                        Incarnation(1)};
    SharedTables tables{self, clock};
    SeededRandom routingRandom{20261205};
    Guarded<RoutingTable> routing{BalancerSettings{self.server, self.domain}, clock, routingRandom};
    Guarded<DeviceRandom> random;
    HttpClient client{context};
    ServerHealth health{self, "/", client, clock};
    ContextBackendProtocol protocol;
    ServerGateway gateway{self, tables, client, health, *this, protocol, clock};
    CallServices services{context, clock, self, tables, routing, random, client, gateway};
    TestCallers callers;
    FakeGate gate;
    RoutedCallHandler handler{services, callers, ServiceName("desk")};
    std::map<std::string, int> status;
    Millis retryAfter; ///< Of the last response.
    Millis timeout{20000}; ///< Of all routes, from the next configure() on.
};

} // namespace

TEST_CASE("RoutedCallHandler: a request runs for the team that holds its key, by the configuration of that moment")
{
    // Guards against requests that run without a key or with a withdrawn one, and against 401 where a daemon knows no
    // configuration.
    Door door;
    CHECK(door.send("early", "k1") == 503);
    door.configure({"k1"});
    CHECK(door.send("first", "k1") == 200);
    CHECK(door.backend.last.find(kTeamField) == "red");
    CHECK_FALSE(door.backend.last.find("Authorization").has_value());
    CHECK(door.send("none", "") == 401);
    CHECK(door.send("other", "k2") == 401);
    CHECK(door.send("long", std::string(64U << 10U, 'k')) == 401);
    CHECK(door.send("nowhere", "k2", "elsewhere") == 404);
    CHECK(door.send("open", "", kPublicHost) == 200);
    CHECK(door.send("open-with-key", "k1", kPublicHost) == 200);
    CHECK_FALSE(door.backend.last.find(kTeamField).has_value());
    CHECK_FALSE(door.backend.last.find("Authorization").has_value());
    CHECK(door.gate.asked == 1);
    door.configure({"k2"});
    CHECK(door.send("withdrawn", "k1") == 401);
    CHECK(door.send("added", "k2") == 200);
    CHECK(door.backend.runs == 4);
    door.configureTeams(TeamTable());
    CHECK(door.send("no-teams", "k1") == 200);
    CHECK(door.backend.last.find("Authorization") == "Bearer k1");
    CHECK(door.gate.asked == 2);
}

TEST_CASE("RoutedCallHandler: in a table without teams no key is valid, and none reaches a server")
{
    // Guards against withdrawn keys that work again, and are passed on, once the last team is withdrawn.
    Door door;
    door.configure({"k1"});
    door.post(kHeldRequest, "k1");
    door.runUntil([&] { return door.backend.runs == 1; });
    door.configureTeams(TeamTable(std::vector<Team>()));
    CHECK(door.send("withdrawn", "k1") == 401);
    CHECK(door.send("none", "") == 401);
    CHECK(door.backend.runs == 1);
    CHECK(door.send("open", "k1", kPublicHost) == 200);
    CHECK_FALSE(door.backend.last.find("Authorization").has_value());
    CHECK(door.send(std::string(kHeldRequest) + ".1", "") == 200);
    CHECK(door.send("unknown.1", "") == 503);
    CHECK(door.gate.asked == 1);
    door.backend.held({200, {}, ""});
    door.runUntil([&] { return door.status[kHeldRequest] != 0; });
    CHECK(door.status[kHeldRequest] == 200);
}

TEST_CASE("RoutedCallHandler: calls of the local server belong to the request that it runs, and need no key")
{
    // Guards against work that is lost since its calls are refused, against calls that draw twice from an allotment,
    // and against requests that run without a key since their id looks like that of such a call.
    Door door;
    door.configure({"k1"});
    door.post(kHeldRequest, "k1");
    door.runUntil([&] { return door.backend.runs == 1; });
    const std::string child = std::string(kHeldRequest) + ".1";
    CHECK(door.send(child, "") == 200);
    CHECK_FALSE(door.backend.last.find(kTeamField).has_value());
    CHECK(door.gate.asked == 1);
    door.backend.held({200, {}, ""});
    door.runUntil([&] { return door.status[kHeldRequest] != 0; });
    // The request is unknown now, as all are after a restart of the daemon.
    CHECK(door.send(child, "") == 503);
    CHECK(door.send("unknown.1", "k2") == 401);
    CHECK(door.backend.runs == 2);
    CHECK(door.send("unknown.1", "k1") == 200);
}

TEST_CASE("RoutedCallHandler: what was taken from an allotment goes back once if the request did not run")
{
    // Guards against a team that pays for refusals, and against an allotment that grows by them.
    Door door;
    door.configure({"k1"});
    CHECK(door.send("served", "k1") == 200);
    CHECK(door.gate.givenBack == 0);
    door.serveWith(false);
    CHECK(door.send("no-server", "k1") == 503);
    CHECK(door.gate.givenBack == 1);
    door.serveWith(true);
    door.gate.decision.refusal = ErrorKind::OverAllotment;
    door.gate.decision.retryAfter = Millis{700};
    CHECK(door.send("over", "k1") == 429);
    CHECK(door.retryAfter >= Millis{700});
    const Millis first = door.retryAfter;
    CHECK(door.send("over", "k1") == 429);
    CHECK(door.retryAfter != first);
    door.gate.decision.refusal = ErrorKind::AllotmentUnknown;
    CHECK(door.send("unknown", "k1") == 503);
    CHECK(door.gate.givenBack == 1);
    CHECK(door.backend.runs == 1);
    const std::string metrics = door.tables.metrics.exposition();
    CHECK(metrics.find(R"(team="red",result="over-allotment"} 2)") != std::string::npos);
    CHECK(metrics.find(R"(team="red",result="completed"} 1)") != std::string::npos);
}

TEST_CASE("RoutedCallHandler: a decision that comes after its caller has left or its deadline has passed is given back")
{
    // Guards against a request that runs for nobody, and against a caller that waits for a daemon that does not answer.
    Door door;
    door.timeout = Millis{150};
    door.configure({"k1"});
    door.gate.isLate = true;
    SUBCASE("in time")
    {
        door.timeout = Millis{20000};
        door.configure({"k1"});
        door.post("late", "k1");
        door.gate.waiting({});
        door.runUntil([&] { return door.status["late"] == 200; });
        CHECK(door.gate.givenBack == 0);
    }
    SUBCASE("after the deadline")
    {
        CHECK(door.send("late", "k1") == 504);
        door.gate.waiting({});
        CHECK(door.gate.givenBack == 1);
    }
    SUBCASE("after the caller has left")
    {
        door.post("late", "k1");
        door.handler.connectionClosed(Door::kConnection);
        CHECK(door.handler.activeCalls() == 0);
        door.gate.waiting({});
        CHECK(door.gate.givenBack == 1);
    }
    SUBCASE("a refusal after the deadline")
    {
        CHECK(door.send("late", "k1") == 504);
        AllotmentDecision refused;
        refused.refusal = ErrorKind::OverAllotment;
        door.gate.waiting(refused);
        CHECK(door.gate.givenBack == 0);
    }
    CHECK(door.backend.runs <= 1);
}
