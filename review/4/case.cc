// Case 4: a check-in of another writer, whose id can't be read, ends the daemon that receives it.
//
// Three machines: one where the clients are, and two with the servers of "desk". Clients keep sending on open
// connections. With TROUBLE, the daemon that takes their requests gets one check-in whose id can't be read.

#include "rig.hh"

using namespace rig;

namespace
{

constexpr int kClients = 20;
constexpr std::int64_t kClientIntervalMs = 20;
constexpr std::int64_t kWorkMs = 60;
constexpr int kAllowedLosses = 3; // Of the rule.
constexpr std::int64_t kObservedMs = 5000;
constexpr std::int64_t kRestartDelayMs = 300;

int runTheCase(const Arguments &arguments)
{
    Record &record = makeStandIn<Record>(arguments.record);
    const int storePort = freePorts(1).front();
    Store &store = makeStandIn<Store>(storePort);
    store.put("config", "main",
              configuration({{"r-list", route("list.example", "/list/", "safe", "desk", "5000ms")}}, {"front", "desk"}));
    auto &machines = makeStandIn<std::vector<Machine>>();
    machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-front", "zone-a", "front", storePort));
    machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-desk-0", "zone-a", "desk", storePort));
    machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-desk-1", "zone-a", "desk", storePort));
    std::mutex &mutex = makeStandIn<std::mutex>();
    auto &passedOn = makeStandIn<std::set<std::string>>(); // Requests that a server has begun to work on.
    auto &identities = makeStandIn<std::vector<ServerProcess>>();
    for (std::size_t i = 0; i < machines.size(); ++i) {
        identities.push_back({"i-" + std::to_string(i) + "0f3a91c2", unixMs(), 0});
    }
    for (std::size_t i = 0; i < machines.size(); ++i) {
        makeStandIn<Listener>(machines[i].app, [&, i](const ConnectionPtr &connection) {
            Message request;
            while (connection->read(request, 60000)) {
                const std::string &id = identities[i].id;
                if (answerWithoutRunning(connection, request, id)) {
                    continue;
                }
                {
                    const std::lock_guard lock(mutex);
                    passedOn.insert(request.header("Hibiscusdale-Request-Id"));
                }
                sleepMs(kWorkMs);
                if (!connection->write(sealedAnswer(request, 200, "ok\n"))) {
                    return;
                }
            }
        });
        machines[i].daemon->start();
    }
    waitUntilReady({&machines[0], &machines[1], &machines[2]}, 10000);
    const auto checkIn = [&](std::size_t i) {
        return callOnce(machines[i].control,
                        heartbeatText(machines[i], identities[i], "ready", ++identities[i].sequence));
    };
    for (std::size_t i = 0; i < machines.size(); ++i) {
        if (checkIn(i) != 200) {
            giveUp("a check-in was not acknowledged");
        }
    }
    const Repeater heartbeats(1500, [&] {
        for (std::size_t i = 0; i < machines.size(); ++i) {
            checkIn(i);
        }
    });
    sleepMs(4000); // All machines are in touch: no impairment for stableWindow.

    // Clients of the front machine, each on a kept connection.
    auto &answered = makeStandIn<std::atomic<int>>(0);
    auto &lost = makeStandIn<std::atomic<int>>(0);
    std::atomic<int> number{0};
    std::vector<std::unique_ptr<Repeater>> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<Repeater>(
            kClientIntervalMs, [&, kept = 0, client = ConnectionPtr()]() mutable {
                if (!client) {
                    client = dial(machines.front().outbound);
                    kept = 0;
                }
                char id[32];
                std::snprintf(id, sizeof(id), "%016x", 0x1000 + ++number);
                Message answer;
                if (!client || !client->write(requestText("GET", "list.example", "/list/2f", id, 5000, ""))) {
                    client.reset();
                    return;
                }
                if (client->read(answer, 6000)) {
                    ++answered;
                    ++kept;
                    return;
                }
                const std::lock_guard lock(mutex);
                if (kept > 0 && passedOn.contains(id)) {
                    ++lost;
                    record.line("request %s, passed on from a kept connection: the connection ends without an answer",
                                id);
                }
                client.reset();
            }));
    }
    sleepMs(1000);
    record.line("%d requests answered", answered.load());
    if (isTrouble()) {
        const ServerProcess other{"i-\xff\xfe", unixMs(), 0};
        const int status = callOnce(machines.front().control, heartbeatText(machines.front(), other, "ready", 1));
        record.line("check-in of another writer at %s, the bytes of its id can't be read; answered %d",
                    machines.front().host.c_str(), status);
    }
    int ends = 0;
    for (const std::int64_t until = nowMs() + kObservedMs; nowMs() < until; sleepMs(20)) {
        for (Machine &machine : machines) {
            int status = 0;
            if (machine.daemon->hasEnded(&status)) {
                ++ends;
                record.line("the daemon of %s ended by itself, %s %d", machine.host.c_str(),
                            WIFSIGNALED(status) ? "signal" : "exit status",
                            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                sleepMs(kRestartDelayMs);
                machine.daemon->start(); // As the platform does after a short delay.
            }
        }
    }
    const int lostInAll = lost;
    clients.clear();
    record.line("result: %d daemons ended by themselves; %d requests that had been passed on from kept connections got "
                "no answer; %d were answered",
                ends, lostInAll, answered.load());
    for (Machine &machine : machines) {
        machine.daemon->stop();
    }
    return lostInAll > kAllowedLosses ? kBroken : kHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, runTheCase);
}
