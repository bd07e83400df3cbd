// The only daemon of a zone gets SIGTERM while a client sends one request after another before the earlier ones are
// answered. The daemon never announces the close, and cuts off requests that are at their servers when it ends.
#include "../standins-2/rig.hh"

using namespace rig;

namespace
{

constexpr std::int64_t kIntervalMs = 40;
constexpr std::int64_t kWorkMs = 150;
constexpr std::int64_t kGraceMs = 6000; ///< Bound `gracePeriod`.
constexpr std::int64_t kExcusedMs = 3000; ///< Requests sent by then may be cut off if their server is still at work.

struct Sent {
    std::string id;
    std::int64_t at = 0;
};

/** What the platform does: it asks once a second, and two misses in a row take a daemon out. */
class Readiness
{
public:
    explicit Readiness(const Daemon &daemon)
        : thread_([this, &daemon] {
            while (!stopping_) {
                misses_ = daemon.isReady() ? 0 : misses_ + 1;
                sleepMs(1000);
            }
        })
    {
    }
    ~Readiness()
    {
        stopping_ = true;
        thread_.join();
    }

    bool isIn() const
    {
        return misses_ < 2;
    }

private:
    std::atomic<bool> stopping_{false};
    std::atomic<int> misses_{0};
    std::thread thread_;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = prepare(argc, argv);
    Store store;
    if (!store.open()) {
        finish(folder, kExitNotRun);
    }
    store.writeConfig({{"version", 7},
                       {"routes", {{"r-notes", route("hulo84.example", "/notes/", "safe", "lake-board")}}},
                       {"services", {{"lake-board", service()}}},
                       {"limits", limits()}});
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::unique_ptr<Server>> servers;
    for (const char *zone : {"a", "b", "c"}) {
        const Machine machine{std::string("sidecar-") + zone + "-1", zone, "lake-board"};
        daemons.push_back(std::make_unique<Daemon>(machine, store.address(), folder));
        daemons.back()->start();
        servers.push_back(std::make_unique<Server>(machine, std::string("i-7f3a91c") + zone, kWorkMs));
        if (!servers.back()->start()) {
            finish(folder, kExitNotRun);
        }
    }
    for (const auto &daemon : daemons) {
        if (!daemon->waitReady(8000)) {
            finish(folder, kExitNotRun);
        }
    }
    Daemon &stopped = *daemons.front();
    const Readiness readiness(stopped);
    sleepMs(4000);

    std::mutex mutex;
    std::deque<Sent> open;
    std::atomic<bool> mayAsk{true};
    std::atomic<bool> isAnnounced{false};
    int answered = 0;
    const ConnectionPtr client = Connection::to(stopped.machine().callers);
    std::thread writer([&] {
        std::int64_t next = now();
        while (mayAsk && !isAnnounced) {
            // The zone has one daemon. While it is out, fewer than half of the zone's daemons are in, and clients of its
            // machine get work all the same.
            const std::string id = newId();
            {
                const std::lock_guard lock(mutex);
                open.push_back({id, now()});
            }
            if (!client->send(request("GET", "hulo84.example", "/notes/akan", id, 5000))) {
                return;
            }
            next += kIntervalMs;
            sleepMs(std::max<std::int64_t>(0, next - now()));
        }
    });
    std::int64_t terminated = -1;
    std::thread operations([&] {
        sleepMs(2000);
        if (hasTrouble()) {
            terminated = now();
            stopped.signal(SIGTERM);
            record.line("SIGTERM to %s", stopped.machine().node.c_str());
        }
        const std::int64_t until = now() + kGraceMs + 1000;
        bool wasIn = true;
        while (now() < until && !stopped.hasEnded()) {
            if (wasIn && !readiness.isIn()) {
                wasIn = false;
                record.line("the daemon is out; no daemon of its zone is in");
            }
            sleepMs(10);
        }
        mayAsk = false;
    });
    while (const std::optional<Message> answer = client->read(1500)) {
        const std::lock_guard lock(mutex);
        open.pop_front();
        ++answered;
        if (strcasecmp(answer->field("Connection").c_str(), "close") == 0) {
            record.line("the daemon announces the close of the connection");
            isAnnounced = true;
            break;
        }
    }
    const std::int64_t ended = now();
    operations.join();
    writer.join();
    if (isAnnounced || terminated < 0) {
        record.line("answered %d, the connection was not cut", answered);
        finish(folder, kExitHeld);
    }
    int lost = 0;
    for (const Sent &request : open) {
        const std::vector<Run> runs = runLog.of(request.id);
        const bool isCounted = !runs.empty() && request.at > terminated + kExcusedMs
            && request.at <= terminated + kGraceMs + 1000;
        record.line("request %s, sent %lld ms after SIGTERM, %s, has no answer", request.id.c_str(),
                    static_cast<long long>(request.at - terminated), runs.empty() ? "not passed on" : "passed on and run");
        lost += isCounted;
    }
    record.line("the connection ended %lld ms after SIGTERM; answered %d; cut off after they were passed on: %d",
                static_cast<long long>(ended - terminated), answered, lost);
    finish(folder, lost > 0 ? kExitBroken : kExitHeld);
}
