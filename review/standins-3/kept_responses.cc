// Case: all processes are killed at the same moment, and three of the four machines of a service never come back. The
// last one has room for all of its requests, which must not be repeated. Figures of traffic, work, slots and answers
// are those of deposit-pay and deposit-desk in kitami-rafts.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr int kMachines = 4;
constexpr int kSlots = 237;
constexpr int kWorkMs = 120;
constexpr std::size_t kRequestBytes = 1200;
constexpr std::size_t kAnswerBytes = 5000;
constexpr int kClients = 40;
constexpr std::int64_t kIntervalMs = 261; ///< Between two requests of a client: 153 a second in all.
constexpr std::int64_t kBeforeMs = 8000;
constexpr std::int64_t kDownMs = 1200;
constexpr std::int64_t kRecoveryMs = 15000; ///< `recovery`.
constexpr std::int64_t kAfterMs = 78000;
constexpr const char *kHost = "rafts.example";

struct Machine {
    Machine(const Host &host, const Address &store, const std::string &work, const std::string &id)
        : daemon(host, store, work)
        , server(host, id, kSlots, [this](Connection &connection, Message &message) {
            if (connection.readBody(message, kForever, false) != ReadResult::Complete) {
                return false;
            }
            const int running = ++busy;
            most = std::max(most.load(), running);
            sleepMs(kWorkMs);
            --busy;
            return connection.write(server.answer(message, 200, std::string(kAnswerBytes, 'r')));
        })
    {
    }

    Daemon daemon;
    std::atomic<int> busy{0};
    std::atomic<int> most{0}; ///< Requests that ran at the same time.
    Server server;
};

struct Share {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};

    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(sent) + " served, " + std::to_string(refused)
            + " answered 503";
    }
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    raiseDescriptorLimit();
    Record record(std::string(argv[1]) + "/record.txt");
    record.add(
        std::string("disruption: ")
        + (trouble ? "all processes are killed, and three of four machines of a service never come back" : "none"));
    Store store(newAddress());
    store.put("config", "main",
              configuration(7, kHost, {{"r-pay", "/deposits/", "deposit-desk", "unsafe", 5000, 1500, 0, 2}},
                            {"raft-catalogue", "deposit-desk"}));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 1; i <= kMachines; ++i) {
        const std::string number = std::to_string(i);
        machines.push_back(std::make_unique<Machine>(Host{"sidecar-akan-a-" + number, "akan-a", "deposit-desk"},
                                                     store.address(), argv[2], "i-desk-" + number));
    }
    Machine entry(Host{"sidecar-akan-a-5", "akan-a", "raft-catalogue"}, store.address(), argv[2], "i-raft-1");
    for (const std::unique_ptr<Machine> &machine : machines) {
        if (!machine->daemon.waitUntilReady(15000)) {
            record.add("a daemon did not become ready");
            return 2;
        }
    }
    if (!entry.daemon.waitUntilReady(15000)) {
        return 2;
    }
    sleepMs(4000);

    Share before;
    Share between;
    Share after;
    std::map<std::int64_t, Share> byTenSeconds;
    for (std::int64_t i = 0; i < 15; ++i) {
        byTenSeconds[i];
    }
    const std::int64_t begun = nowMs();
    std::atomic<Share *> share{&before};
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            Connection connection;
            std::int64_t due = nowMs() + i * kIntervalMs / kClients;
            while (!stop) {
                sleepMs(std::max<std::int64_t>(0, due - nowMs()));
                due = std::max(due + kIntervalMs, nowMs() - kIntervalMs);
                Share &present = *share;
                Message answer;
                const bool isAnswered = (connection.isOpen() || connection.connect(entry.daemon.host().callers, 1000))
                    && connection.write(request("POST", "/deposits/a", kHost, newRequestId(), 5000, kRequestBytes))
                    && connection.readMessage(answer, nowMs() + 6000) == ReadResult::Complete;
                for (Share *counted : {&present, &byTenSeconds.at((nowMs() - begun) / 10000)}) {
                    ++counted->sent;
                    counted->served += isAnswered && answer.status() == 200 ? 1 : 0;
                    counted->refused += isAnswered && answer.status() == 503 ? 1 : 0;
                }
                if (!isAnswered) {
                    connection.close();
                }
            }
        });
    }
    sleepMs(kBeforeMs);
    share = &between;
    if (trouble) {
        std::vector<Machine *> all{&entry};
        for (const std::unique_ptr<Machine> &machine : machines) {
            all.push_back(machine.get());
        }
        for (Machine *machine : all) {
            machine->daemon.kill(SIGKILL);
        }
        for (std::size_t i = 1; i < machines.size(); ++i) {
            machines[i]->server.fallSilent();
        }
        for (Machine *machine : all) {
            machine->daemon.wait(3000);
        }
        sleepMs(kDownMs);
        entry.daemon.start();
        machines.front()->daemon.start();
        record.add("the processes are back, but for three machines, which are gone");
    }
    machines.front()->most = 0;
    sleepMs(kRecoveryMs);
    share = &after;
    sleepMs(kAfterMs);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (const auto &[number, counted] : byTenSeconds) {
        if (counted.sent > 0) {
            record.add(std::to_string(number * 10) + " to " + std::to_string(number * 10 + 10)
                       + " s of the traffic: " + counted.text());
        }
    }
    record.add("the first machine is " + std::string(machines.front()->daemon.isReady() ? "ready" : "not ready")
               + "; its server has " + std::to_string(kSlots) + " slots and ran "
               + std::to_string(machines.front()->most) + " requests at a time at most");
    record.add("before: " + before.text() + "; within recovery: " + between.text() + "; later: " + after.text());
    const bool isBroken = before.served * 4 >= before.sent && after.served * 4 < after.sent;
    record.add(isBroken ? "BROKEN: RECOVER" : "held");
    std::_Exit(isBroken ? 1 : 0);
}
