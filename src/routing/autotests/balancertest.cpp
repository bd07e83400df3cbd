#include "routing/balancer.h"
#include "core/manualclock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>

using namespace Hibiscus;

namespace
{

constexpr int kServers = 5; // Numbers 0 to 2 are in the balancer's own domain.

ServerName nameOf(int number)
{
    return ServerName("s" + std::to_string(number));
}

ServerView viewOf(int number, std::uint64_t incarnation = 1, bool draining = false)
{
    return {nameOf(number),
            HostAddress(),
            Incarnation(incarnation),
            FailureDomainName(number < 3 ? "own" : "other"),
            draining,
            static_cast<std::int64_t>(incarnation)};
}

/** Expected state of one server. */
struct ServerModel {
    bool present = false, draining = false, ejected = false, probing = false;
    std::uint64_t incarnation = 0;
    int inFlight = 0, failures = 0, level = 0;
    double levelAt = -1e9, backoff = 0, probeAt = 0;
};

struct Model {
    std::array<ServerModel, kServers> servers;
    double now = 0;
};

struct Fixture {
    ManualClock clock;
    SeededRandom random{7};
    Balancer balancer{{ServerName("me"), FailureDomainName("own")}, clock, random};
    std::vector<ServerView> views;

    explicit Fixture(int servers = 0)
    {
        for (int i = 0; i < servers; ++i) {
            views.push_back(viewOf(i));
        }
        balancer.update(views);
    }

    std::vector<int> picks(int count, Level level = {0})
    {
        std::vector<int> perServer(kServers);
        for (int i = 0; i < count; ++i) {
            if (const auto name = balancer.pick(level, {})) {
                ++perServer.at(static_cast<std::size_t>(name->value().back() - '0'));
            }
        }
        return perServer;
    }

    void attempt(int number, const AttemptFeedback &feedback)
    {
        balancer.started(nameOf(number));
        balancer.finished(nameOf(number), feedback);
    }
};

/** Uniform number below @p end. With the default size, short runs would hardly reach the upper numbers. */
int below(int end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

struct BalancerStep : rc::state::Command<Model, Fixture> {
    int op = below(10);
    int number = below(kServers);
    int value = below(1000);

    void apply(Model &model) const override
    {
        ServerModel &server = model.servers.at(static_cast<std::size_t>(number));
        if (op == 0) {
            model.now += value * 3;
        } else if (op <= 2) {
            update(server);
        } else if (op <= 4 && server.present) {
            ++server.inFlight;
            server.probing = server.ejected;
        } else if (op <= 6 && server.inFlight > 0) {
            --server.inFlight;
            server.present ? finish(model, server) : void();
        } else if (op >= 7 && server.inFlight > 0) {
            --server.inFlight;
            server.present ? failConnect(model, server) : void();
        }
    }

    void update(ServerModel &server) const
    {
        const bool present = value % 5 != 0;
        const std::uint64_t incarnation =
            static_cast<std::uint64_t>(value) % 11 == 0 ? server.incarnation + 1 : server.incarnation;
        if (!present || !server.present || incarnation != server.incarnation) {
            server = ServerModel{.inFlight = server.inFlight};
        }
        server.present = present;
        server.draining = present && value % 4 == 0;
        server.incarnation = incarnation;
    }

    void finish(const Model &model, ServerModel &server) const
    {
        server.level = value % 256;
        server.levelAt = model.now;
        if (value % 3 != 0) {
            server.failures = 0;
            server.ejected = server.probing = false;
        } else if (server.probing) {
            server.probing = false;
            server.probeAt = model.now + server.backoff;
        }
    }

    void failConnect(const Model &model, ServerModel &server) const
    {
        ++server.failures;
        const bool ejectsNow = !server.ejected && server.failures >= 2;
        if (!ejectsNow && !server.probing) {
            return;
        }
        server.backoff = ejectsNow ? 500 : std::min(8000.0, server.backoff * 2);
        server.ejected = true;
        server.probing = false;
        server.probeAt = model.now + server.backoff;
    }

    void run(const Model &before, Fixture &fixture) const override
    {
        Model model = before;
        apply(model);
        const ServerModel &server = before.servers.at(static_cast<std::size_t>(number));
        if (op == 0) {
            fixture.clock.advance({value * 3.0});
        } else if (op <= 2) {
            fixture.views.clear();
            for (int i = 0; i < kServers; ++i) {
                const ServerModel &listed = model.servers.at(static_cast<std::size_t>(i));
                if (listed.present) {
                    fixture.views.push_back(viewOf(i, listed.incarnation, listed.draining));
                }
            }
            fixture.balancer.update(fixture.views);
        } else if (op <= 4 && server.present) {
            fixture.balancer.started(nameOf(number));
        } else if (op <= 6 && server.inFlight > 0) {
            AttemptFeedback feedback{.level = Level{value % 256}, .headroom = value % 20, .limit = 20};
            feedback.responded = value % 3 != 0;
            fixture.balancer.finished(nameOf(number), feedback);
        } else if (op >= 7 && server.inFlight > 0) {
            fixture.balancer.connectFailed(nameOf(number));
        }
        checkPick(model, fixture);
    }

    void checkPick(const Model &model, Fixture &fixture) const
    {
        const Level level{value % 256};
        const std::vector<ServerName> exclude{nameOf(value % kServers)};
        std::vector<ServerName> candidates;
        bool shed = false;
        for (int i = 0; i < kServers; ++i) {
            const ServerModel &server = model.servers.at(static_cast<std::size_t>(i));
            RC_ASSERT(fixture.balancer.inFlight(nameOf(i)) == server.inFlight);
            RC_ASSERT(fixture.balancer.isEjected(nameOf(i)) == server.ejected);
            const bool backsOff = server.ejected && (server.probing || model.now < server.probeAt);
            if (!server.present || server.draining || backsOff || i == value % kServers) {
                continue;
            }
            const bool sheds = model.now - server.levelAt < 2000 && level.value < server.level;
            shed |= sheds;
            if (!sheds) {
                candidates.push_back(nameOf(i));
            }
        }
        const auto picked = fixture.balancer.pick(level, exclude);
        if (candidates.empty()) {
            RC_ASSERT(picked.error() == (shed ? ErrorKind::Overloaded : ErrorKind::NoServer));
        } else {
            RC_ASSERT(std::count(candidates.begin(), candidates.end(), picked.value()) == 1);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "op " << op << " server " << number << " value " << value;
    }
};

} // namespace

TEST_CASE(
    "Balancer: the limit of a server is kept until the server responds without one, also while its daemon restarts")
{
    // Guards against a restarted daemon whose first refusals, which name no limit, make the others forget it.
    ManualClock clock;
    SeededRandom random{1};
    Balancer balancer({ServerName("self"), FailureDomainName("a")}, clock, random);
    const ServerName server("s1");
    balancer.update({{server, HostAddress("h:1"), Incarnation(1), FailureDomainName("a"), false, 7}});
    const auto attempt = [&](const AttemptFeedback &feedback) {
        balancer.started(server);
        balancer.finished(server, feedback);
    };
    attempt({.level = {}, .headroom = 1, .rateLimit = RequestRate{5}, .serverResponded = true});
    balancer.update({{server, HostAddress("h:1"), Incarnation(2), FailureDomainName("a"), false, 7}});
    attempt({.level = {}, .headroom = 1});
    CHECK(balancer.rateLimit(server) == RequestRate{5});
    attempt({.level = {}, .headroom = 1, .serverResponded = true});
    CHECK(!balancer.rateLimit(server));
    attempt({.level = {}, .headroom = 1, .rateLimit = RequestRate{5}, .serverResponded = true});
    balancer.update({{server, HostAddress("h:1"), Incarnation(3), FailureDomainName("a"), false, 8}});
    CHECK(!balancer.rateLimit(server));
}

TEST_CASE("Balancer: picks exactly among the servers that may be tried")
{
    // Guards against attempts on a draining, ejected, shedding or excluded server, a second probe, and a wrong number
    // of attempts in flight.
    CHECK(rc::check([] {
        Fixture fixture;
        rc::state::check(Model{}, fixture, rc::state::gen::execOneOfWithArgs<BalancerStep>());
    }));
}

TEST_CASE("Balancer: back-off doubles from 0.5 s to 8 s, with one probe each time")
{
    // Guards against user requests that are sent to an unreachable server.
    Fixture fixture(1);
    for (int i = 0; i < 2; ++i) {
        fixture.balancer.started(nameOf(0));
        fixture.balancer.connectFailed(nameOf(0));
    }
    for (const double backoff : {500.0, 1000.0, 2000.0, 4000.0, 8000.0, 8000.0}) {
        fixture.clock.advance(Millis{backoff - 1});
        CHECK(fixture.picks(1)[0] == 0);
        fixture.clock.advance(Millis{1});
        CHECK(fixture.picks(1)[0] == 1);
        fixture.balancer.started(nameOf(0));
        CHECK(fixture.picks(1)[0] == 0);
        fixture.balancer.connectFailed(nameOf(0));
    }
}

TEST_CASE("Balancer: power of two choices on attempts in flight and on unexpired headroom")
{
    // Guards against a loaded server that is preferred to an idle one, and against the use of expired headroom.
    Fixture fixture(2);
    for (int i = 0; i < 3; ++i) {
        fixture.balancer.started(nameOf(0));
    }
    CHECK(fixture.picks(50)[1] == 50);
    fixture.attempt(0, {.level = {}, .headroom = 100});
    fixture.attempt(1, {.level = {}, .headroom = 5});
    CHECK(fixture.picks(50)[0] == 50);
    fixture.clock.advance(Millis{2000});
    CHECK(fixture.picks(50)[1] == 50);
}

TEST_CASE("Balancer: a server of another domain is used when those of the own domain are worse or shed the level")
{
    // Guards against unnecessary hops between domains, and against refusing calls that another domain could serve.
    Fixture fixture(4);
    CHECK(fixture.picks(100)[3] == 0);
    for (int i = 0; i < 3; ++i) {
        fixture.attempt(i, {.level = levelOf(1, 0), .headroom = {}});
    }
    CHECK(fixture.picks(10, levelOf(0, 5))[3] == 10);
    CHECK(fixture.balancer.admittedLevel() == Level{0});
    for (int i = 0; i < 12; ++i) {
        fixture.balancer.started(nameOf(i % 3));
    }
    CHECK(fixture.picks(10, levelOf(1, 5))[3] == 10);
}

TEST_CASE("Balancer: a new server and a new process get one request at a time until the first response")
{
    // Guards against a newly started server that gets a full share of the load before it has answered at all, and one
    // that gets next to nothing for as long as a clock says.
    for (const bool restarted : {false, true}) {
        Fixture fixture(restarted ? 2 : 1);
        fixture.attempt(0, {});
        fixture.clock.advance(Millis{20000});
        fixture.views = {viewOf(0), viewOf(1, 2)};
        fixture.balancer.update(fixture.views);
        const auto place = [&fixture](int count) {
            int share = 0;
            for (int i = 0; i < count; ++i) {
                const ServerName name = *fixture.balancer.pick({0}, {});
                share += name == nameOf(1) ? 1 : 0;
                fixture.balancer.started(name);
            }
            return share;
        };
        CHECK(place(30) == 1);
        fixture.balancer.finished(nameOf(1), {});
        const int share = place(111 - 30);
        CHECK(share >= 54);
        CHECK(share <= 56);
    }
}

TEST_CASE("Balancer: a server gets load in proportion to the share that it reports, which is taken to rise meanwhile")
{
    // Guards against a server at a part of its slots that is flooded, and one that is passed by because of its lower
    // headroom until that has expired.
    Fixture fixture(2);
    fixture.views[0].slots = fixture.views[1].slots = 64;
    fixture.balancer.update(fixture.views);
    fixture.attempt(0, {.level = {}, .headroom = 64, .limit = 64});
    fixture.attempt(1, {.level = {}, .headroom = 8, .limit = 8});
    const auto load = [&fixture] {
        int count = 0;
        for (int i = 0; i < 72; ++i) {
            const ServerName name = *fixture.balancer.pick({0}, {});
            count += name == nameOf(1) ? 1 : 0;
            fixture.balancer.started(name);
        }
        for (int i = 0; i < 72; ++i) {
            fixture.balancer.finished(nameOf(i < count ? 1 : 0), {.level = {}, .headroom = {}});
        }
        return count;
    };
    const int low = load();
    CHECK(low >= 7);
    CHECK(low <= 9);
    fixture.clock.advance(Millis{2000});
    CHECK(load() >= 35);
}

TEST_CASE("Balancer: daemons that have nothing in flight choose in proportion to the reported shares, too")
{
    // Guards against many daemons that each send little and together fill a server at an eighth of its slots.
    Fixture fixture(3);
    for (ServerView &view : fixture.views) {
        view.slots = 64;
    }
    fixture.balancer.update(fixture.views);
    fixture.attempt(0, {.level = {}, .headroom = 64, .limit = 64});
    fixture.attempt(1, {.level = {}, .headroom = 64, .limit = 64});
    fixture.attempt(2, {.level = {}, .headroom = 8, .limit = 8});
    const std::vector<int> picks = fixture.picks(1360);
    CHECK(picks[2] >= 60);
    CHECK(picks[2] <= 100);
}

TEST_CASE("Balancer: while the own domain's server has yet to respond, the others take what it doesn't get")
{
    // Guards against requests that queue at a server that has just started, beside free servers elsewhere.
    Fixture fixture;
    fixture.views = {viewOf(0), viewOf(4)};
    fixture.balancer.update(fixture.views);
    fixture.attempt(4, {.level = {}, .headroom = 50, .limit = 50});
    CHECK(fixture.picks(1)[0] == 1);
    fixture.balancer.started(nameOf(0));
    CHECK(fixture.picks(100)[4] == 100);
    fixture.balancer.finished(nameOf(0), {.level = {}, .headroom = 25, .limit = 50});
    CHECK(fixture.picks(100)[0] == 100);
}

TEST_CASE("Balancer: an attempt without a response does not reset the time since the last response")
{
    // Guards against a lost attempt that counts as a response, so that a broken link is detected only when the slowest
    // requests are overdue.
    Fixture fixture(2);
    fixture.clock.advance(Millis{400});
    fixture.balancer.started(nameOf(0));
    fixture.balancer.started(nameOf(1));
    AttemptFeedback withResponse;
    withResponse.responded = true;
    fixture.balancer.finished(nameOf(0), withResponse);
    AttemptFeedback withoutResponse;
    withoutResponse.responded = false;
    fixture.balancer.finished(nameOf(1), withoutResponse);
    fixture.clock.advance(Millis{100});
    CHECK(fixture.balancer.timeSinceResponse(nameOf(0)) == Millis{100});
    CHECK(fixture.balancer.timeSinceResponse(nameOf(1)) == Millis{500});
    CHECK(fixture.balancer.timeSinceResponse(nameOf(4)) == Millis{0});
}

TEST_CASE("Balancer: a restart of the daemon alone does not make its server start slowly")
{
    // Guards against a rolling restart of the daemons that takes most of the load off each warm server for 10 s.
    Fixture fixture(2);
    fixture.clock.advance(Millis{20000});
    fixture.views[1].incarnation = Incarnation(2);
    fixture.balancer.update(fixture.views);
    const std::vector<int> picks = fixture.picks(400);
    CHECK(picks[1] > 150);
}

TEST_CASE("Balancer: a server that its daemon does not know is probed every 250 ms until it is known")
{
    // Guards against attempts on a server that is lost, and against a long back-off for one that reports itself soon.
    Fixture fixture(2);
    for (int round = 0; round < 5; ++round) {
        fixture.balancer.started(nameOf(0));
        fixture.balancer.serverMissing(nameOf(0));
        CHECK(fixture.picks(20)[0] == 0);
        fixture.clock.advance(Millis{250});
        CHECK(fixture.picks(1)[0] == 1);
    }
    fixture.attempt(0, {});
    CHECK_FALSE(fixture.balancer.isEjected(nameOf(0)));
}
