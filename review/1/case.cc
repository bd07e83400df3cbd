// Case 1: a server crashes while it works on a long request that must run once, and another server runs it again.
//
// Eight machines: one where the client is, and seven with the servers of "desk". A server begins to work on a long
// request before it has read the whole body, answers early, keeps the connection and reads the rest later. With
// TROUBLE, the server that has begun is killed before it reads the rest. With VARIANT=slow nothing is killed: the server
// that begins first reads on after 4.5 s instead of 1 s.

#include "rig.hh"

using namespace rig;

namespace
{

constexpr int kDeskServers = 7; // One of them is 0.143 of the service, below the share of 0.15.
constexpr std::size_t kBodyBytes = 12U << 20U;
constexpr std::int64_t kReadOnAfterMs = 1000;
constexpr std::int64_t kSlowReadOnAfterMs = 4500;
constexpr int kServerBuffer = 65536;
constexpr int kTimeoutMs = 8000;

bool isSlowVariant()
{
    const char *variant = std::getenv("VARIANT");
    return variant != nullptr && std::string(variant) == "slow";
}

/** Process of a backend server. Writes a line for each request that it begins to work on into @p log. */
int runServer(int port, const std::string &id, const std::string &log)
{
    ::signal(SIGPIPE, SIG_IGN);
    const Listener listener(
        port,
        [&](const ConnectionPtr &connection) {
            Message request;
            while (connection->readHead(request, 60000)) {
                if (answerWithoutRunning(connection, request, id)) {
                    connection->readBody(request, 60000);
                    continue;
                }
                const bool isSlow = isTrouble() && isSlowVariant() && !std::ifstream(log).good();
                const std::string line = id + " begins " + request.header("Hibiscusdale-Request-Id") + "\n";
                const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
                if (::write(fd, line.data(), line.size()) < 0) {
                    return;
                }
                ::close(fd);
                // The answer is complete before the body is; the connection stays open, and the rest is read later.
                connection->write(sealedAnswer(request, 200, "deposit taken by " + id + "\n"));
                sleepMs(isSlow ? kSlowReadOnAfterMs : kReadOnAfterMs);
                if (!connection->readBody(request, 60000)) {
                    return;
                }
            }
        },
        kServerBuffer);
    while (true) {
        sleepMs(1000);
    }
}

std::vector<std::string> readLines(const std::string &path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

int runTheCase(const Arguments &arguments, const std::string &self)
{
    Record record(arguments.record);
    const int storePort = freePorts(1).front();
    Store &store = makeStandIn<Store>(storePort);
    store.put("config", "main",
              configuration({{"r-pay", route("pay.example", "/pay/", "unsafe", "desk", "8000ms")}}, {"front", "desk"}));

    std::vector<Machine> machines;
    machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-front", "zone-a", "front", storePort));
    for (int i = 0; i < kDeskServers; ++i) {
        machines.push_back(makeMachine(arguments.folder, arguments.daemon, "host-desk-" + std::to_string(i), "zone-a",
                                       "desk", storePort));
    }
    const std::string log = arguments.folder + "/executions.txt";
    std::vector<std::unique_ptr<Process>> servers;
    std::vector<ServerProcess> identities;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        identities.push_back({"i-" + std::to_string(i) + "0f3a91c2", unixMs(), 0});
        servers.push_back(std::make_unique<Process>(
            std::vector<std::string>{self, "server", std::to_string(machines[i].app), identities[i].id, log},
            arguments.folder + "/server-" + std::to_string(i) + ".log"));
        servers.back()->start();
        machines[i].daemon->start();
    }
    std::vector<const Machine *> all;
    for (const Machine &machine : machines) {
        all.push_back(&machine);
    }
    waitUntilReady(all, 10000);
    const auto checkIn = [&](std::size_t i) {
        return callOnce(machines[i].control, heartbeatText(machines[i], identities[i], "ready", ++identities[i].sequence));
    };
    for (std::size_t i = 0; i < machines.size(); ++i) {
        if (checkIn(i) != 200) {
            giveUp("a check-in was not acknowledged");
        }
    }
    // Servers that live go on checking in.
    std::atomic<int> crashed{-1};
    const Repeater heartbeats(1500, [&] {
        for (std::size_t i = 0; i < machines.size(); ++i) {
            if (static_cast<int>(i) != crashed) {
                checkIn(i);
            }
        }
    });
    sleepMs(4000); // All machines are in touch: no impairment for stableWindow.

    const std::string id = "9c41d07be2a35f68";
    std::thread killer([&] {
        if (!isTrouble() || isSlowVariant()) {
            return;
        }
        const std::int64_t until = nowMs() + 5000;
        while (nowMs() < until && readLines(log).empty()) {
            sleepMs(10);
        }
        const std::vector<std::string> lines = readLines(log);
        if (lines.empty()) {
            return;
        }
        sleepMs(300);
        for (std::size_t i = 0; i < identities.size(); ++i) {
            if (lines.front().starts_with(identities[i].id + " ")) {
                crashed = static_cast<int>(i);
                servers[i]->stop();
                record.line("impairment: server %s is killed", identities[i].id.c_str());
            }
        }
    });
    record.line("sent: POST /pay/2f, %zu bytes, request %s, time budget %d ms", kBodyBytes, id.c_str(), kTimeoutMs);
    const ConnectionPtr client = dial(machines.front().outbound);
    Message answer;
    const bool isSent = client && client->write(requestText("POST", "pay.example", "/pay/2f", id, kTimeoutMs,
                                                            std::string(kBodyBytes, 'x')));
    const bool isAnswered = isSent && client->read(answer, kTimeoutMs + 1000);
    record.line("answered: %s %s", isAnswered ? answer.start.c_str() : "no answer", answer.body.c_str());
    killer.join();
    sleepMs(2000);
    const std::vector<std::string> runs = readLines(log);
    for (const std::string &line : runs) {
        record.line("run: %s", line.c_str());
    }
    if (runs.empty() || (isTrouble() && !isSlowVariant() && crashed < 0)) {
        record.line("result: no server began to work, or none was killed");
        return kNotRun;
    }
    const bool isRefused = isAnswered && (answer.status() == 503 || answer.status() == 429);
    record.line("result: the request ran %zu times%s", runs.size(), isRefused ? " and was answered as not run" : "");
    return runs.size() > 1 || isRefused ? kBroken : kHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 5 && std::string(argv[1]) == "server") {
        return runServer(std::atoi(argv[2]), argv[3], argv[4]);
    }
    const std::string self = argv[0];
    return runCase(argc, argv, [&](const Arguments &arguments) { return runTheCase(arguments, self); });
}
