// Case: a service loses all of its machines but one, for good and without a notice. Machines of another service go on
// and ask for it.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr int kEntries = 8; ///< Machines of the other service, with clients.
constexpr int kWorkMs = 40;
constexpr std::int64_t kBeforeMs = 6000;
constexpr std::int64_t kRecoveryMs = 15000; ///< `recovery`.
constexpr std::int64_t kAfterMs = 15000;
constexpr int kRequestPauseMs = 150;
constexpr const char *kHost = "rafts.example";

struct Machine {
    Machine(const Host &host, const Address &store, const std::string &work, const std::string &id)
        : daemon(host, store, work)
        , server(host, id, 42, [this](Connection &connection, Message &message) {
            sleepMs(kWorkMs);
            return connection.write(server.answer(message, 200, std::string(1500, 'r')));
        })
    {
    }

    /** Loses power for good: nothing of it answers any more. */
    void losePower()
    {
        daemon.kill(SIGKILL);
        server.fallSilent();
    }

    Daemon daemon;
    Server server;
};

struct Share {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};

    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(sent);
    }
    bool isBelowQuarter() const
    {
        return served * 4 < sent;
    }
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5) {
        return 2;
    }
    const bool trouble = std::string(argv[3]) != "0";
    const int count = std::atoi(argv[4]);
    raiseDescriptorLimit();
    Record record(std::string(argv[1]) + "/record.txt");
    record.add(std::string("disruption: ")
               + (trouble ? std::to_string(count - 1) + " of the " + std::to_string(count)
                          + " machines of a service are lost for good"
                          : "none"));
    Store store(newAddress());
    store.put("config", "main",
              configuration(7, kHost, {{"r-browse", "/slots/", "raft-catalogue", "safe", 5000, 2000, 0, 2}},
                            {"raft-catalogue", "deposit-desk"}));
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::unique_ptr<Machine>> entries;
    for (int i = 1; i <= count; ++i) {
        const std::string number = std::to_string(i);
        machines.push_back(std::make_unique<Machine>(Host{"sidecar-akan-a-" + number, "akan-a", "raft-catalogue"},
                                                     store.address(), argv[2], "i-raft-" + number));
    }
    for (int i = 1; i <= kEntries; ++i) {
        const std::string number = std::to_string(count + i);
        entries.push_back(std::make_unique<Machine>(Host{"sidecar-akan-a-" + number, "akan-a", "deposit-desk"},
                                                    store.address(), argv[2], "i-desk-" + std::to_string(i)));
    }
    for (const auto *group : {&machines, &entries}) {
        for (const std::unique_ptr<Machine> &machine : *group) {
            if (!machine->daemon.waitUntilReady(20000)) {
                record.add("a daemon did not become ready");
                return 2;
            }
        }
    }
    const std::int64_t checkedInUntil = nowMs() + 10000;
    while (static_cast<int>(store.list("backend-servers").size()) < count + kEntries && nowMs() < checkedInUntil) {
        sleepMs(100);
    }
    sleepMs(4000);

    Share before;
    Share between;
    Share after;
    std::atomic<Share *> share{&before};
    std::atomic<bool> stop{false};
    std::vector<Share> byEntry(kEntries);
    std::vector<std::thread> clients;
    for (int i = 0; i < kEntries; ++i) {
        clients.emplace_back([&, i] {
            const Address callers = entries[static_cast<std::size_t>(i)]->daemon.host().callers;
            Connection connection;
            while (!stop) {
                Share &present = *share;
                Message answer;
                const bool isAnswered = (connection.isOpen() || connection.connect(callers, 1000))
                    && connection.write(request("GET", "/slots/a", kHost, newRequestId(), 5000, 0))
                    && connection.readMessage(answer, nowMs() + 6000) == ReadResult::Complete;
                const bool isServed = isAnswered && answer.status() == 200;
                ++present.sent;
                present.served += isServed ? 1 : 0;
                if (&present == &after) {
                    ++byEntry[static_cast<std::size_t>(i)].sent;
                    byEntry[static_cast<std::size_t>(i)].served += isServed ? 1 : 0;
                }
                if (!isAnswered) {
                    connection.close();
                }
                sleepMs(kRequestPauseMs);
            }
        });
    }
    sleepMs(kBeforeMs);
    share = &between;
    if (trouble) {
        for (std::size_t i = 1; i < machines.size(); ++i) {
            machines[i]->losePower();
        }
        record.add("all machines of the service but the first are gone");
    }
    sleepMs(kRecoveryMs);
    share = &after;
    sleepMs(kAfterMs);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (int i = 0; i < kEntries; ++i) {
        record.add("at " + entries[static_cast<std::size_t>(i)]->daemon.host().name + ", later than recovery: served "
                   + byEntry[static_cast<std::size_t>(i)].text());
    }
    record.add("the remaining machine of the service is ready: "
               + std::string(machines.front()->daemon.isReady() ? "yes" : "no"));
    record.add("entries of the service in the store that no machine stands for: "
               + std::to_string(trouble ? count - 1 : 0) + ", entries in all "
               + std::to_string(store.list("backend-servers").size()));
    record.add("served before " + before.text() + ", within recovery " + between.text() + ", later " + after.text());
    const bool isBroken = !before.isBelowQuarter() && after.isBelowQuarter();
    record.add(isBroken ? "BROKEN: RECOVER" : "held");
    std::_Exit(isBroken ? 1 : 0);
}
