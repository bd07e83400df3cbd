#include "membership/autotests/simulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace Hibiscus;

namespace
{

/** One fault, operators' change or wait of a random run. */
struct Action {
    int kind = 0;
    std::size_t target = 0;
    int wait = 0;
};

std::ostream &operator<<(std::ostream &out, const Action &action)
{
    return out << '{' << action.kind << ',' << action.target << ',' << action.wait << '}';
}

rc::Gen<Action> anyAction()
{
    return rc::gen::build<Action>(
        rc::gen::set(&Action::kind, rc::gen::inRange(0, 20)),
        rc::gen::set(&Action::target, rc::gen::inRange<std::size_t>(0, 1000)),
        rc::gen::set(&Action::wait, rc::gen::oneOf(rc::gen::inRange(0, 2000), rc::gen::inRange(2000, 9000))));
}

std::vector<std::size_t> alive(const Simulation &simulation)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < simulation.processes.size(); ++i) {
        if (simulation.processes[i]->alive) {
            result.push_back(i);
        }
    }
    return result;
}

void perform(Simulation &simulation, const Action &action)
{
    const std::vector<std::size_t> candidates = alive(simulation);
    const std::size_t process = candidates.empty() ? 0 : candidates[action.target % candidates.size()];
    Simulation::Process &target = *simulation.processes[process];
    switch (action.kind) {
    case 0:
        simulation.kill(process);
        break;
    case 1:
        simulation.restart(process);
        break;
    case 2:
        simulation.pause(process);
        break;
    case 3:
        simulation.pause(process);
        if (!target.replaced) {
            simulation.replace(process);
        }
        break;
    case 4:
    case 14:
        simulation.heal(); // Most faults matter only to a domain that worked before.
        break;
    case 15:
        simulation.resume(process);
        break;
    case 5:
        target.island = static_cast<int>(action.target % 3);
        break;
    case 6:
        for (const std::size_t i : candidates) {
            simulation.processes[i]->island = static_cast<int>((action.target >> (i % 9)) & 1U);
        }
        break;
    case 7:
        simulation.faults.platformDown = !simulation.faults.platformDown;
        break;
    case 8:
        simulation.faults.lossPercent = static_cast<int>(action.target % 40);
        simulation.faults.duplicatePercent = 20;
        break;
    case 9:
        simulation.faults.maxDelay = static_cast<double>(action.target % 3 * 900 + 3);
        break;
    case 10:
        simulation.faults.lostAnswerPercent = 50;
        break;
    case 11:
        target.platformCut = !target.platformCut;
        break;
    case 12:
        simulation.rosterChange(static_cast<int>(action.target % 2));
        break;
    case 13:
        for (const std::size_t i : candidates) {
            if (simulation.processes[i]->domain == target.domain) {
                simulation.restart(i);
            }
        }
        break;
    default:
        simulation.operatorChange();
    }
    simulation.run(action.wait);
}

std::vector<std::size_t> indicesOf(const Simulation &simulation, const std::string &domain)
{
    std::vector<std::size_t> result = alive(simulation);
    std::erase_if(result, [&](std::size_t i) { return simulation.processes[i]->domain.value() != domain; });
    return result;
}

std::size_t agentOf(const Simulation &simulation, const std::string &domain)
{
    for (const std::size_t i : indicesOf(simulation, domain)) {
        if (simulation.processes[i]->agent->isAgent()) {
            return i;
        }
    }
    FAIL("no agent");
    return 0;
}

std::string firstViolation(const Simulation &simulation)
{
    return simulation.violations.empty() ? "none" : simulation.violations.front();
}

} // namespace

TEST_CASE("DomainAgent: no accepted version is followed by a process serving under an older one")
{
    // Guards against every breach of the lease rules under loss, delay, duplication, cuts, pauses, kills, replacements,
    // two agents, platform outages and lost answers; and against states from which the domains don't recover.
    CHECK(rc::check("accepted versions stay in force", [] {
        // At smaller sizes RapidCheck's ranges are cut short and leave out most kinds of action.
        const auto full = [](const auto &gen) { return rc::gen::resize(rc::kNominalSize, gen); };
        const auto seed = *full(rc::gen::arbitrary<std::uint64_t>());
        const auto actions = *rc::gen::resize(30, rc::gen::container<std::vector<Action>>(full(anyAction())));
        Simulation simulation({*full(rc::gen::inRange(1, 6)), *full(rc::gen::inRange(3, 6))}, seed);
        simulation.run(15000);
        for (const Action &action : actions) {
            perform(simulation, action);
            RC_ASSERT(firstViolation(simulation) == "none");
        }
        simulation.heal();
        simulation.operatorChange();
        simulation.run(90000);
        RC_ASSERT(firstViolation(simulation) == "none");
        RC_ASSERT(simulation.accepted() == simulation.latest());
        RC_ASSERT(simulation.allCurrent());
        RC_ASSERT(simulation.agents(FailureDomainName("d0")) == 1U);
    }));
}

namespace
{

int configReads(const Simulation &simulation)
{
    const auto found = simulation.platformCalls.find("get config");
    return found == simulation.platformCalls.end() ? 0 : found->second;
}

bool allFresh(const Simulation &simulation, const std::string &domain)
{
    return std::ranges::all_of(indicesOf(simulation, domain),
                               [&](std::size_t i) { return simulation.processes[i]->agent->fresh(); });
}

void isolate(Simulation &simulation, const std::string &domain, bool platformToo)
{
    for (const std::size_t i : indicesOf(simulation, domain)) {
        simulation.processes[i]->island = 1;
        simulation.processes[i]->platformCut = platformToo;
    }
}

} // namespace

TEST_CASE("DomainAgent: fault cases, each starting from settled domains of five and four")
{
    struct Case {
        std::string guards;
        std::function<void(Simulation &)> fault;
        double millis;
        std::function<bool(const Simulation &)> expected;
    };
    const std::vector<Case> cases{
        {"a change that takes longer than 20 s to be accepted", [](Simulation &s) { s.operatorChange(); }, 12000,
         [](const Simulation &s) { return s.allCurrent(); }},
        {"a platform outage that ends serving", [](Simulation &s) { s.faults.platformDown = true; }, 120000,
         [](const Simulation &s) { return allFresh(s, "d0") && allFresh(s, "d1"); }},
        {"a lost agent that ends serving", [](Simulation &s) { s.kill(agentOf(s, "d0")); }, 30000,
         [](const Simulation &s) { return allFresh(s, "d0") && s.agents(FailureDomainName("d0")) == 1; }},
        {"a lost agent during a platform outage that ends serving for good",
         [](Simulation &s) {
             s.faults.platformDown = true;
             s.kill(agentOf(s, "d0"));
         },
         30000, [](const Simulation &s) { return allFresh(s, "d0"); }},
        {"an isolated domain that stops serving though its majority holds",
         [](Simulation &s) { isolate(s, "d0", true); }, 60000, [](const Simulation &s) { return allFresh(s, "d0"); }},
        {"a change reported as accepted while a domain can't confirm it",
         [](Simulation &s) {
             isolate(s, "d0", true);
             s.operatorChange();
         },
         60000, [](const Simulation &s) { return s.accepted() < s.latest() && allFresh(s, "d1"); }},
        {"a minority that serves without the platform",
         [](Simulation &s) {
             const auto members = indicesOf(s, "d0");
             for (std::size_t i = 0; i < 2; ++i) {
                 s.processes[members[i]]->island = 1;
                 s.processes[members[i]]->platformCut = true;
             }
         },
         8000,
         [](const Simulation &s) {
             const auto members = indicesOf(s, "d0");
             return !s.processes[members[0]]->agent->fresh() && !s.processes[members[1]]->agent->fresh()
                 && s.processes[members[2]]->agent->fresh();
         }},
        {"a domain cut off from the others that doesn't follow the platform",
         [](Simulation &s) {
             isolate(s, "d0", false);
             s.operatorChange();
         },
         15000, [](const Simulation &s) { return s.allCurrent(); }},
        {"a confirmation lost with the platform's answer",
         [](Simulation &s) {
             s.faults.lostAnswerPercent = 60;
             s.operatorChange();
         },
         60000, [](const Simulation &s) { return s.allCurrent(); }},
        {"a roster change that is never accepted", [](Simulation &s) { s.rosterChange(0); }, 15000,
         [](const Simulation &s) { return s.allCurrent(); }},
        {"a resumed process that serves before it is fresh",
         [](Simulation &s) {
             s.pause(1);
             s.operatorChange();
             s.run(20000);
         },
         0,
         [](const Simulation &s) {
             return !s.processes[1]->agent->fresh() && s.processes[1]->agent->adopted() < s.latest();
         }},
        {"a resumed process that doesn't become fresh again",
         [](Simulation &s) {
             s.pause(1);
             s.operatorChange();
             s.run(20000);
             s.resume(1);
         },
         3000, [](const Simulation &s) { return s.processes[1]->agent->fresh(); }},
        {"a predecessor that goes on under a name that is used again",
         [](Simulation &s) {
             s.pause(1);
             s.replace(1);
             s.run(12000);
             s.resume(1);
         },
         3000,
         [](const Simulation &s) {
             return s.processes[1]->agent->superseded() && !s.processes[1]->agent->fresh()
                 && !s.processes.back()->agent->superseded() && s.processes.back()->agent->fresh();
         }},
        {"a predecessor that renews leases together with processes that were cut off",
         [](Simulation &s) {
             std::vector<std::size_t> cut = indicesOf(s, "d0");
             std::erase(cut, agentOf(s, "d0"));
             const std::size_t replaced = cut.back();
             cut = {agentOf(s, "d0"), cut.front(), replaced};
             for (const std::size_t i : cut) {
                 s.processes[i]->island = 1;
                 s.processes[i]->platformCut = true;
             }
             s.operatorChange();
             s.run(30000);
             s.pause(replaced);
             s.processes[s.replace(replaced)]->island = 0;
             s.run(3000);
             s.resume(replaced);
         },
         30000, [](const Simulation &s) { return s.accepted() == s.latest(); }},
        {"two halves of a domain that both serve without the platform",
         [](Simulation &s) {
             for (const std::size_t i : {5, 6}) {
                 s.processes[i]->island = 1;
             }
             for (const std::size_t i : indicesOf(s, "d1")) {
                 s.processes[i]->platformCut = true;
             }
             for (const std::size_t i : {7, 8}) {
                 s.processes[i]->island = 2;
             }
         },
         8000,
         [](const Simulation &s) {
             return std::ranges::none_of(indicesOf(s, "d1"),
                                         [&](std::size_t i) { return s.processes[i]->agent->fresh(); });
         }},
        {"a process stopped with a valid lease when a change is accepted",
         [](Simulation &s) {
             s.pause(2);
             s.operatorChange();
         },
         12000, [](const Simulation &s) { return s.accepted() == s.latest(); }},
        {"draining or payload entries that take longer than 2 s",
         [](Simulation &s) {
             s.on(1, [](DomainAgent &agent) { return agent.setLocalState(true, 3); });
             s.on(2, [](DomainAgent &agent) { return agent.publish({"crash", "k", "v", 1}); });
         },
         2000,
         [](const Simulation &s) {
             return std::ranges::all_of(s.processes, [](const auto &process) {
                 const MemberRecord *record = process->agent->members().find(ServerName("d0s1"));
                 return record != nullptr && record->draining && process->agent->members().entriesSince(0).size() == 1;
             });
         }},
        {"a lost process that stays in the views, or a lost one that is taken for another",
         [](Simulation &s) { s.kill(1); }, 9000,
         [](const Simulation &s) {
             return std::ranges::all_of(alive(s), [&](std::size_t i) {
                 return !s.processes[i]->agent->members().find(ServerName("d0s1"))->up
                     && s.processes[i]->agent->members().find(ServerName("d0s2"))->up;
             });
         }},
    };
    for (const Case &item : cases) {
        CAPTURE(item.guards);
        Simulation simulation({5, 4}, 7);
        simulation.run(20000);
        REQUIRE(simulation.allCurrent());
        item.fault(simulation);
        simulation.run(item.millis);
        CHECK(item.expected(simulation));
        CHECK(firstViolation(simulation) == "none");
    }
}

TEST_CASE("DomainAgent: the next in order takes over before the leases of a lost agent end")
{
    // Guards against a domain that rejects requests after the loss of one host: one domain, so that no other gives
    // leases.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Simulation simulation({12}, seed);
        simulation.run(20000 + static_cast<double>(seed) * 50);
        REQUIRE(simulation.allCurrent());
        simulation.kill(agentOf(simulation, "d0"));
        std::size_t without = 0;
        for (int step = 0; step < 100; ++step) {
            simulation.run(100);
            without += static_cast<std::size_t>(std::ranges::count_if(
                alive(simulation), [&](std::size_t i) { return !simulation.processes[i]->agent->fresh(); }));
        }
        CHECK(without == 0);
        CHECK(firstViolation(simulation) == "none");
    }
}

TEST_CASE("DomainAgent: a cold start reads the configuration per domain and not per daemon")
{
    // Guards against 900 daemons that read the platform at once after a power failure.
    for (const int members : {3, 12, 40}) {
        CAPTURE(members);
        Simulation simulation({members, members}, 11);
        simulation.run(25000);
        CHECK(simulation.allCurrent());
        CHECK(configReads(simulation) <= 2 * 5);

        const int before = configReads(simulation);
        for (const std::size_t i : indicesOf(simulation, "d0")) {
            simulation.restart(i);
        }
        simulation.run(25000);
        CHECK(simulation.allCurrent());
        CHECK(configReads(simulation) - before <= 5);
    }
}

TEST_CASE("DomainAgent: platform calls don't grow with the number of servers")
{
    // Guards against a control load that outgrows the platform's rates; 6 watches, 6 renewals in 60 s and 2 domains.
    for (const int members : {3, 30, 150}) {
        CAPTURE(members);
        Simulation simulation({members, members}, 13);
        simulation.run(30000);
        simulation.platformCalls.clear();
        std::map<ServerName, int> requests;
        simulation.onMessage = [&](const auto &process, const auto *, const ControlRequest *request,
                                   const ControlResponse *) { requests[process.name] += request != nullptr ? 1 : 0; };
        simulation.run(60000);
        int calls = 0;
        for (const auto &[kind, count] : simulation.platformCalls) {
            calls += count;
        }
        CHECK(calls <= 16);
        for (const auto &[name, count] : requests) {
            CHECK(count <= 60 * 18);
        }
        // A change passes the platform's watch, the agent and the relays within four rounds.
        simulation.operatorChange();
        simulation.run(4000);
        CHECK(std::ranges::all_of(simulation.processes, [&](const auto &process) {
            return process->agent->adopted() == simulation.latest();
        }));
    }
}
