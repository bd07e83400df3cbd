// A server leaves, and its daemon acknowledges that. The daemon is stopped and started again, reads a listing that is some
// seconds old, and takes a heartbeat that comes late for the start of a server.
#include "../standins-2/rig.hh"

using namespace rig;

namespace
{

constexpr int kMachines = 11; ///< One daemon of eleven is killed: within the share of `node_kill`, 0.1.
constexpr int kUsers = 150;
constexpr std::int64_t kWorkMs = 160;
constexpr std::int64_t kDrainMs = 2000; ///< Bound `drain`.
constexpr std::int64_t kStableWindowMs = 3000; ///< Bound `stableWindow`.
constexpr std::int64_t kStalenessMs = 5000; ///< "may return data that is seconds old".

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = prepare(argc, argv);
    Store store;
    store.setStaleness(kStalenessMs);
    if (!store.open()) {
        finish(folder, kExitNotRun);
    }
    store.writeConfig({{"version", 7},
                       {"routes", {{"r-browse", route("hulo84.example", "/browse/", "safe", "listings")}}},
                       {"services", {{"listings", service()}}},
                       {"limits", limits()}});
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < kMachines; ++i) {
        const Machine machine{"sidecar-a-" + std::to_string(i), "a", "listings"};
        daemons.push_back(std::make_unique<Daemon>(machine, store.address(), folder));
        daemons.back()->start();
        servers.push_back(std::make_unique<Server>(machine, "i-02d9e6" + std::to_string(10 + i), kWorkMs));
        if (!servers.back()->start()) {
            finish(folder, kExitNotRun);
        }
    }
    for (const auto &daemon : daemons) {
        if (!daemon->waitReady(15000)) {
            finish(folder, kExitNotRun);
        }
    }
    sleepMs(kStalenessMs + 4000);
    // Users at the other machines; all of these are in touch all the while.
    const auto send = [&](const char *when) {
        std::vector<std::thread> users;
        for (int user = 0; user < kUsers; ++user) {
            const auto machine = static_cast<std::size_t>(1 + user % (kMachines - 1));
            users.emplace_back([&, machine] {
                const ConnectionPtr connection = Connection::to(daemons[machine]->machine().callers);
                if (connection) {
                    connection->send(request("GET", "hulo84.example", "/browse/pigs", newId(), 5000));
                    connection->read(6000);
                }
            });
        }
        for (std::thread &user : users) {
            user.join();
        }
        record.line("%s: %d requests", when, kUsers);
    };
    send("before");
    sleepMs(1000);

    Server &leaving = *servers.front();
    const auto lateCheckIn = leaving.delayedCheckIn();
    const std::int64_t acknowledged = leaving.leave();
    if (acknowledged < 0) {
        finish(folder, kExitNotRun);
    }
    record.line("the leave notice of %s is acknowledged", leaving.id().c_str());
    if (hasTrouble()) {
        sleepMs(100);
        daemons.front()->kill();
        sleepMs(100);
        daemons.front()->start();
    }
    const std::int64_t inTouch = now() + kStableWindowMs;
    sleepMs(kStableWindowMs + 200);
    record.line("a check-in that was sent before the leave notice arrives: %s", lateCheckIn() >= 0 ? "acknowledged" : "rejected");
    sleepMs(50);
    const std::int64_t from = std::max(now(), inTouch);
    send("after it");
    int late = 0;
    for (const Run &run : runLog.all()) {
        late += run.server == leaving.id() && run.begun >= from && run.begun > acknowledged + kDrainMs;
    }
    record.line("requests that reached the server which had left, later than `drain` after the ack: %d", late);
    finish(folder, late > 0 ? kExitBroken : kExitHeld);
}
