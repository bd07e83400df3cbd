// Case: the clock of a machine is 2 s ahead and goes back. A server there starts, crashes and starts again under its id
// within that time, so that its second start is the earlier one. Later it drains.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr int kServers = 7;
constexpr int kEntries = 2;
constexpr int kClients = 16; ///< At each entry.
constexpr int kWorkMs = 200;
constexpr std::int64_t kClockStepMs = 2000;
constexpr std::int64_t kUpMs = 600; ///< From the first start of the server to its crash.
constexpr std::int64_t kDownMs = 600;
constexpr std::int64_t kServingMs = 8000; ///< From its second start until it drains.
constexpr std::int64_t kDrainMs = 2000; ///< `drain`.
constexpr std::int64_t kQuietMs = 2500; ///< Without requests, after the acknowledgement.
constexpr std::int64_t kLaterMs = 2000;
constexpr const char *kHost = "rafts.example";

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    raiseDescriptorLimit();
    Record record(std::string(argv[1]) + "/record.txt");
    record.add(std::string("disruption: ") + (trouble ? "the clock of one machine goes back by 2 s" : "none"));
    Store store(newAddress());
    store.put("config", "main",
              configuration(7, kHost, {{"r-browse", "/slots/", "raft-catalogue", "safe", 5000, 1200, 0, 2}},
                            {"raft-catalogue", "deposit-desk"}));
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::unique_ptr<Server>> servers;
    std::mutex mutex;
    std::vector<std::int64_t> arrivals; ///< At the server that drains.
    const auto newServer = [&](const Host &host, const std::string &id, bool isWatched, std::int64_t clockAheadMs) {
        auto holder = std::make_shared<Server *>(nullptr);
        auto server = std::make_unique<Server>(
            host, id, 158,
            [&, holder, isWatched](Connection &connection, Message &message) {
                if (isWatched) {
                    const std::lock_guard lock(mutex);
                    arrivals.push_back(nowMs());
                }
                sleepMs(kWorkMs);
                return *holder != nullptr && connection.write((*holder)->answer(message, 200, std::string(1500, 'r')));
            },
            clockAheadMs);
        *holder = server.get();
        return server;
    };
    for (int i = 1; i <= kServers + kEntries; ++i) {
        const Host host{"sidecar-akan-a-" + std::to_string(i), "akan-a",
                        i <= kServers ? "raft-catalogue" : "deposit-desk"};
        daemons.push_back(std::make_unique<Daemon>(host, store.address(), argv[2]));
        if (i > 1) {
            servers.push_back(newServer(host, "i-" + std::to_string(i), false, 0));
        }
    }
    for (const std::unique_ptr<Daemon> &daemon : daemons) {
        if (!daemon->waitUntilReady(15000)) {
            record.add("a daemon did not become ready");
            return 2;
        }
    }
    sleepMs(4000);

    std::atomic<bool> sends{true};
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kEntries * kClients; ++i) {
        clients.emplace_back([&, i] {
            const Address to = daemons[static_cast<std::size_t>(kServers + i % kEntries)]->host().callers;
            Connection connection;
            while (!stop) {
                if (!sends) {
                    sleepMs(5);
                    continue;
                }
                Message answer;
                const bool isServed = (connection.isOpen() || connection.connect(to, 1000))
                    && connection.write(request("GET", "/slots/a", kHost, newRequestId(), 5000, 0))
                    && connection.readMessage(answer, nowMs() + 6000) == ReadResult::Complete && answer.status() == 200;
                ++(isServed ? served : failed);
                if (!isServed) {
                    connection.close();
                }
                sleepMs(20);
            }
        });
    }
    const Host first = daemons.front()->host();
    std::unique_ptr<Server> server = newServer(first, "i-1", true, trouble ? kClockStepMs : 0);
    record.add(std::string("server i-1 starts") + (trouble ? "; the clock of its machine is 2 s ahead" : ""));
    sleepMs(kUpMs);
    server->crash();
    record.add(std::string("server i-1 crashes") + (trouble ? "; the clock has gone back" : ""));
    sleepMs(kDownMs);
    const std::unique_ptr<Server> crashed = std::move(server);
    server = newServer(first, "i-1", true, 0);
    record.add("server i-1 starts again");
    sleepMs(kServingMs);
    {
        const std::lock_guard lock(mutex);
        record.add("requests that reached server i-1 until now: " + std::to_string(arrivals.size()));
    }
    sends = false;
    sleepMs(300);
    const bool isAcknowledged = server->drain();
    const std::int64_t acknowledgedAt = nowMs();
    record.add(std::string("server i-1 reports draining: ") + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    sleepMs(kQuietMs);
    sends = true;
    sleepMs(kLaterMs);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int late = 0;
    for (const std::int64_t arrival : arrivals) {
        if (arrival > acknowledgedAt + kDrainMs) {
            record.add("a request reaches server i-1 " + std::to_string(arrival - acknowledgedAt)
                       + " ms after the ack");
            ++late;
        }
    }
    const auto entries = store.list("backend-servers");
    const auto entry = entries.find("i-1");
    record.add("entry of server i-1 in the store: " + (entry == entries.end() ? "none" : entry->second));
    record.add("served " + std::to_string(served) + ", failed " + std::to_string(failed)
               + "; requests that reached the server later than `drain` after the ack: " + std::to_string(late));
    const bool isBroken = isAcknowledged && late > 0;
    record.add(isBroken ? "BROKEN: DRAIN" : "held");
    std::_Exit(isBroken ? 1 : 0);
}
