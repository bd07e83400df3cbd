// The clock of a machine steps ahead and back. A server that started while it was ahead crashes and starts again under
// its id. Its daemon acknowledges the check-ins of the new boot, whose start is earlier, but does not act on them.
#include "../standins-2/rig.hh"

using namespace rig;

namespace
{

constexpr int kMachines = 8;
constexpr std::int64_t kStepMs = 2000; ///< x of the impairment `clock_step`.
constexpr std::int64_t kDrainMs = 2000; ///< Bound `drain`.
constexpr std::int64_t kServesOnMs = 6000; ///< After the acknowledgement: `drain` and a little longer.

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = prepare(argc, argv);
    Store store;
    if (!store.open()) {
        finish(folder, kExitNotRun);
    }
    store.writeConfig({{"version", 7},
                       {"routes", {{"r-browse", route("hulo84.example", "/browse/", "safe", "listings")}}},
                       {"services", {{"listings", service()}}},
                       {"limits", limits()}});
    // One of eight machines: within the largest share of `clock_step` (0.3) and of `srv_crash` (0.14).
    const Machine first{"sidecar-a-1", "a", "listings"};
    Daemon daemon(first, store.address(), folder);
    daemon.start();
    std::vector<std::unique_ptr<Daemon>> others;
    std::vector<std::unique_ptr<Server>> steady;
    for (int i = 2; i <= kMachines; ++i) {
        const Machine machine{"sidecar-a-" + std::to_string(i), "a", "listings"};
        others.push_back(std::make_unique<Daemon>(machine, store.address(), folder));
        others.back()->start();
        steady.push_back(std::make_unique<Server>(machine, "i-02d9e6b" + std::to_string(i), 20));
        if (!steady.back()->start()) {
            finish(folder, kExitNotRun);
        }
    }
    Server server(first, "i-7f3a91c2", 20);
    if (!daemon.waitReady(8000) || !others.back()->waitReady(8000)) {
        finish(folder, kExitNotRun);
    }
    sleepMs(3000);

    // The clock is ahead when the server starts, and back when it starts again.
    const std::int64_t step = hasTrouble() ? kStepMs : 0;
    if (!server.start(step)) {
        finish(folder, kExitNotRun);
    }
    sleepMs(600);
    record.line("the clock of the machine steps back by %lld ms", static_cast<long long>(step));
    server.crash();
    sleepMs(600);
    if (!server.start(0)) {
        finish(folder, kExitNotRun);
    }

    std::atomic<bool> isSending{true};
    std::atomic<bool> isQuiet{false};
    std::atomic<std::int64_t> acknowledged{-1};
    std::mutex mutex;
    std::map<std::string, std::int64_t> sent;
    const auto send = [&](const Machine &machine) {
        const ConnectionPtr connection = Connection::to(machine.callers);
        while (isSending && connection) {
            if (isQuiet) {
                sleepMs(10);
                continue;
            }
            const std::string id = newId();
            {
                const std::lock_guard lock(mutex);
                sent[id] = now();
            }
            connection->send(request("GET", "hulo84.example", "/browse/pigs", id, 5000));
            if (!connection->read(6000)) {
                break;
            }
            sleepMs(20);
        }
    };
    std::thread atFirst(send, first);
    std::thread atSecond(send, others.back()->machine());

    // Longer than stableWindow and the slow start.
    sleepMs(8000);
    // No user sends anything while the server leaves: an answer with Server-Leaving would tell its daemon as well.
    isQuiet = true;
    sleepMs(200);
    acknowledged = server.report("draining");
    if (acknowledged < 0) {
        record.line("the server's check-in as draining is not acknowledged");
        isSending = false;
        isQuiet = false;
        atFirst.join();
        atSecond.join();
        finish(folder, kExitHeld);
    }
    sleepMs(kDrainMs + 500);
    isQuiet = false;
    sleepMs(kServesOnMs - kDrainMs - 500);
    isSending = false;
    atFirst.join();
    atSecond.join();

    int before = 0;
    int late = 0;
    for (const Run &run : runLog.all()) {
        if (run.server != server.id()) {
            continue;
        }
        const bool isLate = run.begun > acknowledged + kDrainMs && sent[run.id] > acknowledged + kDrainMs;
        before += run.begun <= acknowledged;
        late += isLate;
        if (isLate && late <= 5) {
            record.line("request %s, sent at %.3f s, reached the draining server at %.3f s", run.id.c_str(),
                        sent[run.id] / 1000.0, run.begun / 1000.0);
        }
    }
    record.line("requests at server %s before the acknowledgement: %d; sent and arrived later than `drain` after it: %d",
                server.id().c_str(), before, late);
    record.line("entries of servers: %s", store.objects("backend-servers").dump().c_str());
    finish(folder, late > 0 ? kExitBroken : kExitHeld);
}
