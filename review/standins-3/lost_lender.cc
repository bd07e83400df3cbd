// Case: all processes are killed at the same moment, and one machine of five never comes back: the one that lends the
// allotment of the largest tenant. All other machines are back, with all services.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr const char *kHost = "track.example";
constexpr const char *kLargest = "t-port";
constexpr int kWorkMs = 30;
constexpr std::int64_t kBeforeMs = 8000;
constexpr std::int64_t kDownMs = 1200;
constexpr std::int64_t kRecoveryMs = 15000; ///< `recovery`.
constexpr std::int64_t kAfterMs = 15000;
constexpr int kPauseMs = 100; ///< Between two requests of a client.

struct Tenant {
    std::string name;
    std::string key;
    int clients; ///< At each machine.
    int ratePerS;
    int burst;
};

const std::vector<Tenant> kTenants{{kLargest, "key-port", 8, 800, 400}, {"t-agent", "key-agent", 1, 100, 50}};

struct Machine {
    Machine(const Host &host, const Address &store, const std::string &work, const std::string &id)
        : daemon(host, store, work)
        , server(host, id, 88, [this](Connection &connection, Message &message) {
            sleepMs(kWorkMs);
            return connection.write(server.answer(message, 200, std::string(1500, 'r')));
        })
    {
    }

    Daemon daemon;
    Server server;
    std::atomic<bool> isGone{false};
};

struct Share {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};

    std::string text() const
    {
        return std::to_string(served) + " of " + std::to_string(sent) + " served, " + std::to_string(refused)
            + " answered 429 or 503";
    }
};

/** Requests a second of the largest tenant that holders report to this daemon, as its metrics say; 0 if there are none.
 */
double lentDemand(const Machine &machine)
{
    const std::string name = std::string("hibiscus_team_lent_demand{team=\"") + kLargest + "\"} ";
    Connection connection;
    Message answer;
    const bool isAnswered = connection.connect(machine.daemon.host().metrics, 1000)
        && connection.write("GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n")
        && connection.readMessage(answer, nowMs() + 2000) == ReadResult::Complete;
    const std::size_t at = isAnswered ? answer.body.find(name) : std::string::npos;
    return at == std::string::npos ? 0 : std::atof(answer.body.c_str() + at + name.size());
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    const std::string mode = argv[3]; // 0: nothing; 1: killed, and the lender is lost; 2: killed only
    raiseDescriptorLimit();
    Record record(std::string(argv[1]) + "/record.txt");
    record.add(std::string("disruption: ")
               + (mode == "0"       ? "none"
                      : mode == "2" ? "all processes are killed"
                                    : "all processes are killed, and one machine never comes back"));
    Store store(newAddress());
    std::string tenants;
    for (const Tenant &tenant : kTenants) {
        tenants += (tenants.empty() ? "" : ",") + std::string("\"") + tenant.name + "\":{\"apiKeys\":[\"" + tenant.key
            + "\"],\"ratePerS\":" + std::to_string(tenant.ratePerS) + ",\"burst\":" + std::to_string(tenant.burst)
            + ",\"priority\":0}";
    }
    store.put("config", "main",
              configuration(7, kHost, {{"r-history", "/history/", "history-svc", "safe", 5000, 1500, 0, 2}},
                            {"history-svc", "command-svc"}, ",\"tenants\":{" + tenants + "}"));
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = 1; i <= 5; ++i) {
        const std::string number = std::to_string(i);
        machines.push_back(std::make_unique<Machine>(
            Host{"sidecar-klang-a-" + number, "klang-a", i <= 3 ? "history-svc" : "command-svc"}, store.address(),
            argv[2], "i-" + number));
    }
    for (const std::unique_ptr<Machine> &machine : machines) {
        if (!machine->daemon.waitUntilReady(15000)) {
            record.add("a daemon did not become ready");
            return 2;
        }
    }
    sleepMs(4500);

    Share before;
    Share between;
    Share after;
    std::map<std::string, std::pair<std::atomic<int>, std::atomic<int>>> afterByTenant;
    for (const Tenant &tenant : kTenants) {
        afterByTenant[tenant.name];
    }
    std::atomic<Share *> share{&before};
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (const std::unique_ptr<Machine> &machine : machines) {
        for (const Tenant &tenant : kTenants) {
            for (int i = 0; i < tenant.clients; ++i) {
                clients.emplace_back([&, &machine = *machine, &tenant = tenant] {
                    Connection connection;
                    while (!stop && !machine.isGone) {
                        Share &present = *share;
                        Message answer;
                        const bool isAnswered =
                            (connection.isOpen() || connection.connect(machine.daemon.host().callers, 1000))
                            && connection.write(request("GET", "/history/a", kHost, newRequestId(), 5000, 0,
                                                        "Authorization: Bearer " + tenant.key + "\r\n"))
                            && connection.readMessage(answer, nowMs() + 6000) == ReadResult::Complete;
                        const bool isServed = isAnswered && answer.status() == 200;
                        ++present.sent;
                        present.served += isServed ? 1 : 0;
                        present.refused += isAnswered && (answer.status() == 503 || answer.status() == 429) ? 1 : 0;
                        if (&present == &after) {
                            ++afterByTenant[tenant.name].first;
                            afterByTenant[tenant.name].second += isServed ? 1 : 0;
                        }
                        if (!isAnswered) {
                            connection.close();
                        }
                        sleepMs(kPauseMs);
                    }
                });
            }
        }
    }
    sleepMs(kBeforeMs);
    share = &between;
    std::size_t lost = machines.size();
    double most = 0;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        const double demand = lentDemand(*machines[i]);
        record.add(machines[i]->daemon.host().name + " lends to " + kLargest + " at a demand of "
                   + std::to_string(demand) + " requests a second");
        lost = demand > most ? i : lost;
        most = std::max(most, demand);
    }
    if (mode != "0") {
        if (lost == machines.size()) {
            record.add("no daemon lends the allotment");
            std::_Exit(2);
        }
        for (const std::unique_ptr<Machine> &machine : machines) {
            machine->daemon.kill(SIGKILL);
        }
        if (mode == "1") {
            machines[lost]->isGone = true;
            machines[lost]->server.fallSilent();
            record.add(machines[lost]->daemon.host().name + " is lost for good");
        }
        for (const std::unique_ptr<Machine> &machine : machines) {
            machine->daemon.wait(3000);
        }
        sleepMs(kDownMs);
        for (const std::unique_ptr<Machine> &machine : machines) {
            if (!machine->isGone) {
                machine->daemon.start();
            }
        }
    }
    sleepMs(kRecoveryMs);
    share = &after;
    sleepMs(kAfterMs);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (const auto &[tenant, counts] : afterByTenant) {
        record.add("tenant " + tenant + ", later than recovery: " + std::to_string(counts.second) + " of "
                   + std::to_string(counts.first) + " served");
    }
    for (const std::unique_ptr<Machine> &machine : machines) {
        record.add(machine->daemon.host().name
                   + (machine->isGone                 ? " is gone"
                          : machine->daemon.isReady() ? " is ready"
                                                      : " isn't ready"));
    }
    record.add("before: " + before.text());
    record.add("within recovery: " + between.text());
    record.add("later: " + after.text());
    const bool isBroken = before.served * 4 >= before.sent && after.served * 4 < after.sent;
    record.add(isBroken ? "BROKEN: RECOVER" : "held");
    std::_Exit(isBroken ? 1 : 0);
}
