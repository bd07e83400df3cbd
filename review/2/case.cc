// Case 2: a server whose leaving was acknowledged gets work again after a restart of the daemon beside it.
//
// Four machines: one where the client is, and three with the servers of "desk". One of these servers never reports that
// it drains: it sends its leave notice, gets the acknowledgement, goes on serving for some seconds and exits. A
// heartbeat that it sent before that arrives seconds late. With TROUBLE, the daemon beside the server is killed after
// the acknowledgement and started again before the late heartbeat arrives.

#include "rig.hh"

using namespace rig;

namespace
{

constexpr int kDeskServers = 3;
constexpr std::int64_t kDrainMs = 2000; // Bound of the rule.
constexpr std::int64_t kStableWindowMs = 3000;
constexpr std::int64_t kKillAfterAckMs = 200;
constexpr std::int64_t kRestartAfterMs = 200;
constexpr std::int64_t kLateHeartbeatAfterAckMs = 3600;
constexpr std::int64_t kServesAfterAckMs = 8000; // "A little longer (at times many seconds)" than drain.
constexpr int kClients = 120;
constexpr std::int64_t kClientIntervalMs = 20;
constexpr std::int64_t kWorkMs = 300;

int runTheCase(const Arguments &arguments)
{
    Record &record = makeStandIn<Record>(arguments.record);
    const int storePort = freePorts(1).front();
    Store &store = makeStandIn<Store>(storePort);
    store.put("config", "main",
              configuration({{"r-list", route("list.example", "/list/", "safe", "desk", "5000ms")}}, {"front", "desk"}));
    auto &machines = makeStandIn<std::vector<Machine>>();
    machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-front", "zone-a", "front", storePort));
    for (int i = 0; i < kDeskServers; ++i) {
        machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-desk-" + std::to_string(i), "zone-a",
                                       "desk", storePort));
    }
    constexpr std::size_t kLeaving = 1; // Machine whose server leaves.
    std::mutex &mutex = makeStandIn<std::mutex>();
    auto &sentAt = makeStandIn<std::map<std::string, std::int64_t>>(); // By request id.
    auto &ackAt = makeStandIn<std::atomic<std::int64_t>>(0);
    auto &restartedAt = makeStandIn<std::atomic<std::int64_t>>(0);
    auto &violations = makeStandIn<std::atomic<int>>(0);
    auto &passedOnAt = makeStandIn<std::atomic<std::int64_t>>(0); // First answer with Server-Leaving.
    auto &sentAfterPassing = makeStandIn<std::atomic<int>>(0);
    auto &ranAtLeaving = makeStandIn<std::atomic<int>>(0);
    auto &hasLeft = makeStandIn<std::atomic<bool>>(false); // The server has decided to leave, and its answers say so.
    auto &identities = makeStandIn<std::vector<ServerProcess>>();
    for (std::size_t i = 0; i < machines.size(); ++i) {
        identities.push_back({"i-" + std::to_string(i) + "0f3a91c2", unixMs(), 0});
    }
    for (std::size_t i = 0; i < machines.size(); ++i) {
        makeStandIn<Listener>(machines[i].app, [&, i](const ConnectionPtr &connection) {
            Message request;
            while (connection->read(request, 60000)) {
                const std::string &id = identities[i].id;
                if (answerWithoutRunning(connection, request, id, i == kLeaving && hasLeft)) {
                    continue;
                }
                const std::int64_t now = nowMs();
                if (i == kLeaving) {
                    ++ranAtLeaving;
                    std::int64_t sent = 0;
                    {
                        const std::lock_guard lock(mutex);
                        sent = sentAt[request.header("Hibiscusdale-Request-Id")];
                    }
                    const std::int64_t ack = ackAt;
                    const bool isLate = ack > 0 && sent > ack + kDrainMs;
                    // The restarted machine is in touch once it has run for stableWindow.
                    const bool isInTouch = restartedAt == 0 || sent > restartedAt + kStableWindowMs;
                    if (ack > 0) {
                        record.line("run at the server that left: request %s, sent %lld ms after the ack%s",
                                    request.header("Hibiscusdale-Request-Id").c_str(),
                                    static_cast<long long>(sent - ack),
                                    isLate && isInTouch ? ", later than drain" : "");
                    }
                    if (isLate && isInTouch && now < ack + kServesAfterAckMs) {
                        ++violations;
                    }
                    if (passedOnAt > 0 && sent > passedOnAt + kDrainMs) {
                        ++sentAfterPassing;
                    }
                }
                sleepMs(kWorkMs);
                std::vector<std::pair<std::string, std::string>> headers{
                    {"Hibiscusdale-Request-Id", request.header("Hibiscusdale-Request-Id")},
                    {"Hibiscusdale-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"}};
                if (i == kLeaving && hasLeft) {
                    headers.emplace_back("Server-Leaving", "1");
                }
                if (!connection->write(response(200, headers, "ok\n"))) {
                    return;
                }
            }
        });
        machines[i].daemon->start();
    }
    std::vector<const Machine *> all;
    for (const Machine &machine : machines) {
        all.push_back(&machine);
    }
    waitUntilReady(all, 10000);
    const auto checkIn = [&](std::size_t i) {
        return callOnce(machines[i].control,
                        heartbeatText(machines[i], identities[i], "ready", ++identities[i].sequence));
    };
    for (std::size_t i = 0; i < machines.size(); ++i) {
        if (checkIn(i) != 200) {
            giveUp("a check-in was not acknowledged");
        }
    }
    auto &isSilent = makeStandIn<std::atomic<bool>>(false); // The leaving server sends no more heartbeats.
    const Repeater heartbeats(1500, [&] {
        for (std::size_t i = 0; i < machines.size(); ++i) {
            if (i != kLeaving || !isSilent) {
                checkIn(i);
            }
        }
    });
    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
    std::atomic<int> number{0};
    std::vector<std::unique_ptr<Repeater>> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(std::make_unique<Repeater>(kClientIntervalMs, [&, client = ConnectionPtr()]() mutable {
            if (!client) {
                client = dial(machines.front().outbound);
            }
            char id[32];
            std::snprintf(id, sizeof(id), "%016x", 0x1000 + ++number);
            {
                const std::lock_guard lock(mutex);
                sentAt[id] = nowMs();
            }
            Message answer;
            if (client && client->write(requestText("GET", "list.example", "/list/2f", id, 5000, ""))
                && client->read(answer, 6000)) {
                ++(answer.status() == 200 ? answered : failed);
                if (!answer.header("Server-Leaving").empty() && passedOnAt == 0) {
                    passedOnAt = nowMs();
                    record.line("the front machine passes on an answer with Server-Leaving");
                }
            } else {
                ++failed;
                client.reset();
            }
        }));
    }
    sleepMs(4000); // All machines are in touch: no impairment for stableWindow.
    if (ranAtLeaving == 0) {
        giveUp("the server got no requests before it left");
    }
    record.line("sent until now: %d requests answered, %d of them run at the server that will leave", answered.load(),
                ranAtLeaving.load());
    // This heartbeat is held up on its way; the server decides to leave a little later.
    isSilent = true;
    const std::string lateHeartbeat =
        heartbeatText(machines[kLeaving], identities[kLeaving], "ready", ++identities[kLeaving].sequence);
    const std::int64_t heartbeatSentAt = nowMs();
    const std::uint64_t sequence = identities[kLeaving].sequence;
    sleepMs(100);
    hasLeft = true;
    if (callOnce(machines[kLeaving].control, leaveText(machines[kLeaving], identities[kLeaving])) != 200) {
        giveUp("the leave notice was not acknowledged");
    }
    ackAt = nowMs();
    record.line("leave notice of %s acknowledged", identities[kLeaving].id.c_str());
    if (isTrouble()) {
        sleepUntil(ackAt + kKillAfterAckMs);
        machines[kLeaving].daemon->stop();
        record.line("impairment: the daemon beside the server is killed");
        sleepMs(kRestartAfterMs);
        machines[kLeaving].daemon->start();
        restartedAt = nowMs();
        record.line("the daemon is started again");
    }
    sleepUntil(ackAt + kLateHeartbeatAfterAckMs);
    const int status = callOnce(machines[kLeaving].control, lateHeartbeat);
    record.line("heartbeat with sequence %llu arrives %lld ms after it was sent, answered %d",
                static_cast<unsigned long long>(sequence), static_cast<long long>(nowMs() - heartbeatSentAt), status);
    sleepUntil(ackAt + kServesAfterAckMs);
    record.line("the server exits; requests answered: %d, others: %d", answered.load(), failed.load());
    record.line("result: %d requests that were sent later than drain after the ack reached the server that had left; %d of "
                "all were sent later than drain after the front machine had passed on Server-Leaving",
                violations.load(), sentAfterPassing.load());
    for (Machine &machine : machines) {
        machine.daemon->stop();
    }
    return violations > 0 ? kBroken : kHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, runTheCase);
}
