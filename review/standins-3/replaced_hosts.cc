// Case: the machines of a service are replaced, one after the other, by machines at new addresses. Each machine that
// goes is drained and stopped as planned. The daemon of another machine passes ordinary requests on to them all the
// time.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr int kClients = 127; // as many as in a zone of the small deployment
constexpr std::int64_t kGapMs = 1300; ///< Between two replacements.
constexpr int kWorkMs = 150;
constexpr int kBursts = 2; ///< Requests of each client in a round.
constexpr std::int64_t kLastRoundAtMs = 85000;
constexpr int kNewClients = 40;
constexpr int kTryingClients = 8;
constexpr std::int64_t kTryMs = 4000; ///< Longer than stableWindow, which is 3 s.
constexpr const char *kHost = "rafts.example";

/** Whether a request on a new connection gets any answer within a second. */
bool isAnswered(Connection &connection, const Address &to)
{
    Message answer;
    return connection.connect(to, 1000) && connection.write(request("GET", "/slots/a", kHost, newRequestId(), 5000, 0))
        && connection.readMessage(answer, nowMs() + 1000) == ReadResult::Complete;
}

/** The platform: asks each second whether the daemon is ready, on a kept connection. */
class ReadyProbe
{
public:
    explicit ReadyProbe(const Address &address)
        : thread_([this, address] { run(address); })
    {
        thread_.detach();
    }

    std::atomic<int> ready{0};
    std::atomic<int> missed{0};

private:
    void run(const Address &address)
    {
        Connection connection;
        while (true) {
            Message answer;
            const bool isReady = (connection.isOpen() || connection.connect(address, 1000))
                && connection.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                && connection.readMessage(answer, nowMs() + 1000) == ReadResult::Complete && answer.status() == 200;
            ++(isReady ? ready : missed);
            if (!isReady) {
                connection.close();
            }
            sleepMs(1000);
        }
    }

    std::thread thread_;
};

struct Replaceable {
    Replaceable(const Host &host, const Address &store, const std::string &work, const std::string &id)
        : daemon(host, store, work)
        , server(host, id, 158, [this](Connection &connection, Message &message) {
            sleepMs(kWorkMs);
            return connection.write(server.answer(message, 200, std::string(1500, 'r')));
        })
    {
    }

    Daemon daemon;
    Server server;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argv[1];
    const std::string work = argv[2];
    const bool trouble = std::string(argc > 3 ? argv[3] : "1") != "0";
    raiseDescriptorLimit();
    Record record(folder + "/record.txt");
    record.add(std::string("disruption: ") + (trouble ? "machines are replaced" : "none"));

    Store store(newAddress());
    store.put("config", "main",
              configuration(7, kHost, {{"r-browse", "/slots/", "raft-catalogue", "safe", 5000, 1200, 0, 2}},
                            {"raft-catalogue", "deposit-desk"}));
    Host entry{"sidecar-a-1", "zone-a", "deposit-desk"};
    Daemon daemon(entry, store.address(), work);
    Server desk(entry, "i-desk1", 237, [&](Connection &connection, Message &message) {
        return connection.write(desk.answer(message, 200, "d"));
    });
    const auto newMachine = [&](int number) {
        Host host{"sidecar-b-" + std::to_string(number), "zone-a", "raft-catalogue"};
        return std::make_unique<Replaceable>(host, store.address(), work, "i-raft" + std::to_string(number));
    };
    std::unique_ptr<Replaceable> first = newMachine(0);
    std::unique_ptr<Replaceable> second = newMachine(1);
    if (!daemon.waitUntilReady(15000) || !first->daemon.waitUntilReady(15000)
        || !second->daemon.waitUntilReady(15000)) {
        record.add("the daemons did not become ready");
        return 2;
    }
    ReadyProbe probe(entry.ready);
    sleepMs(3500);

    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < kClients; ++i) {
        connections.push_back(std::make_unique<Connection>());
    }
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> unanswered{0};
    const auto burst = [&] {
        std::vector<std::thread> clients;
        for (int i = 0; i < kClients; ++i) {
            clients.emplace_back([&, i] {
                Connection &connection = *connections[static_cast<std::size_t>(i)];
                for (int n = 0; n < kBursts; ++n) {
                    if (!connection.isOpen() && !connection.connect(entry.callers, 1000)) {
                        ++unanswered;
                        continue;
                    }
                    Message answer;
                    const bool sent = connection.write(request("GET", "/slots/a", kHost, newRequestId(), 5000, 0));
                    if (!sent || connection.readMessage(answer, nowMs() + 5500) != ReadResult::Complete) {
                        ++unanswered;
                        connection.close();
                        continue;
                    }
                    ++(answer.status() == 200 ? served : answer.status() == 503 ? refused : failed);
                    if (lower(answer.field("Connection")) == "close") {
                        connection.close();
                    }
                }
            });
        }
        for (std::thread &client : clients) {
            client.join();
        }
    };

    std::vector<std::unique_ptr<Replaceable>> machines; // All of them, in the order of their start
    std::vector<std::thread> stops;
    int open = 0;
    std::size_t oldest = 0;
    machines.push_back(std::move(first));
    machines.push_back(std::move(second));
    for (int round = 0; record.elapsedMs() < kLastRoundAtMs; ++round) {
        const std::int64_t begun = nowMs();
        if (trouble) {
            // The new machine starts first. It has a whole round until it is needed.
            machines.push_back(newMachine(static_cast<int>(machines.size())));
        }
        served = refused = failed = unanswered = 0;
        burst();
        open = daemon.openDescriptors();
        record.add("round " + std::to_string(round) + ": served " + std::to_string(served) + ", refused "
                   + std::to_string(refused) + ", failed " + std::to_string(failed) + ", unanswered "
                   + std::to_string(unanswered) + "; the daemon has " + std::to_string(open) + " descriptors open");
        sleepMs(std::max<std::int64_t>(0, begun + kGapMs - nowMs()));
        if (!trouble) {
            continue;
        }
        // The old one drains and leaves.
        Replaceable *old = machines[oldest++].get();
        if (!old->server.drain()) {
            record.add("a drain was not acknowledged");
        }
        stops.emplace_back([old] {
            sleepMs(2500);
            old->server.leave();
            old->server.stopListening();
            old->daemon.kill(SIGTERM);
            old->daemon.wait(7000);
        });
    }
    // More clients come and keep their connections, as clients do. Then eight others try for longer than stableWindow.
    std::vector<std::unique_ptr<Connection>> kept(kNewClients);
    std::atomic<int> keptAnswered{0};
    {
        std::vector<std::thread> newcomers;
        for (std::unique_ptr<Connection> &connection : kept) {
            newcomers.emplace_back([&] {
                connection = std::make_unique<Connection>();
                keptAnswered += isAnswered(*connection, entry.callers) ? 1 : 0;
            });
        }
        for (std::thread &newcomer : newcomers) {
            newcomer.join();
        }
    }
    record.add("clients that come and stay: " + std::to_string(kNewClients) + ", answered "
               + std::to_string(keptAnswered));
    const int readyBefore = probe.ready;
    const int missedBefore = probe.missed;
    std::atomic<int> tries{0};
    std::atomic<int> taken{0};
    {
        const std::int64_t until = nowMs() + kTryMs;
        std::vector<std::thread> newcomers;
        for (int i = 0; i < kTryingClients; ++i) {
            newcomers.emplace_back([&] {
                while (nowMs() < until) {
                    Connection connection;
                    ++tries;
                    taken += isAnswered(connection, entry.callers) ? 1 : 0;
                    sleepMs(100);
                }
            });
        }
        for (std::thread &newcomer : newcomers) {
            newcomer.join();
        }
    }
    const int readyAnswers = probe.ready - readyBefore;
    const int missedAnswers = probe.missed - missedBefore;
    record.add(std::to_string(kTryingClients) + " clients tried for " + std::to_string(kTryMs)
               + " ms: " + std::to_string(tries) + " new connections, " + std::to_string(taken)
               + " answered; GET /ready: " + std::to_string(readyAnswers) + " times 200, "
               + std::to_string(missedAnswers) + " times not; " + std::to_string(daemon.openDescriptors())
               + " descriptors open of " + std::to_string(Daemon::kMaximumDescriptors));
    const bool broken = taken == 0 && tries >= 7 && readyAnswers >= 3 && missedAnswers == 0;
    for (std::thread &stop : stops) {
        stop.join();
    }
    record.add(broken ? "BROKEN: RECOVER" : "held");
    std::_Exit(broken ? 1 : 0);
}
