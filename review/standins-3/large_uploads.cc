// Two cases of large uploads whose bodies the daemon holds for longer than their clients wait for it. The stand-in of
// the platform kills a process that exceeds its memory, and other clients lose what they have asked for.
//   early: a server answers an upload before it has read it, keeps the connection and reads on some seconds later.
//   leave: clients close their connections before the server has ended its work on their uploads.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr long kMemoryMb = 260; // "memoryMb" in the settings of the small deployments
constexpr std::size_t kUploadBytes = 32U << 20U; // half of "maxBodyBytes"
constexpr std::int64_t kUploadMs = 5500; ///< Time for which uploads are sent, and clients leave.
constexpr std::int64_t kReadOnAfterMs = 5000;
constexpr std::int64_t kUploadWorkMs = 3500;
constexpr std::int64_t kLeaveAfterMs = 400; ///< From the start of the request: half of the target latency.
/** With it an upload takes no less than on the link of a machine, which has 1,000 Mbit/s. */
constexpr std::int64_t kPauseMs = 250;
constexpr int kReaders = 8;
constexpr int kReaderWorkMs = 400;
constexpr int kTimeoutMs = 5000;
constexpr const char *kHost = "rafts.example";

struct Tally {
    std::atomic<int> uploadsAnswered{0};
    std::atomic<int> uploadsRefused{0};
    std::atomic<int> uploadsLeft{0}; ///< By their clients.
    std::atomic<int> uploadsLost{0};
    std::atomic<int> readsAnswered{0};
    std::atomic<int> readsRefused{0};
    std::atomic<int> readsLost{0}; ///< Run by the sound server, and the connection ended without an answer.
    std::atomic<int> readsNotRun{0};
};

/** One play of a case. */
class Play
{
public:
    Play(Record &record, const std::string &work, bool early, bool trouble)
        : record_(record)
        , early_(early)
        , trouble_(trouble)
        , store_(newAddress())
        , daemon_(host_, store_.address(), work)
        , server_(host_, "i-waiver1", 316,
                  [this](Connection &connection, Message &message) { return serve(connection, message); })
    {
        store_.put("config", "main",
                   configuration(7, kHost,
                                 {{"r-upload", "/waivers/", "waiver-store", "unsafe", kTimeoutMs, 800, 1, 2},
                                  {"r-read", "/index/", "waiver-store", "safe", kTimeoutMs, 800, 0, 2}},
                                 {"waiver-store"}));
    }

    int run()
    {
        if (!daemon_.waitUntilReady(15000)) {
            record_.add("the daemon did not become ready");
            return 2;
        }
        sleepMs(3000); // The machine is in touch.
        std::thread platform([this] { watchMemory(); });
        std::vector<std::thread> clients;
        for (int i = 0; i < kReaders; ++i) {
            clients.emplace_back([this] { readOften(); });
        }
        std::vector<std::thread> uploaders;
        for (int i = 0; i < (early_ ? 1 : 2); ++i) {
            uploaders.emplace_back([this] { uploadOften(); });
        }
        for (std::thread &uploader : uploaders) {
            uploader.join();
        }
        sleepMs(killed_ ? 500 : 3000);
        stop_ = true;
        platform.join();
        for (std::thread &client : clients) {
            client.join();
        }
        return report();
    }

private:
    bool serve(Connection &connection, Message &message)
    {
        const std::string id = message.field("Hibiscusdale-Request-Id");
        {
            const std::lock_guard lock(mutex_);
            run_.insert(id);
        }
        if (message.method() != "POST") {
            sleepMs(kReaderWorkMs);
            return connection.write(server_.answer(message, 200, std::string(1500, 'r')));
        }
        const std::string answer = server_.answer(message, 200, "taken");
        if (early_ && trouble_) {
            if (!connection.write(answer)) {
                return false;
            }
            sleepMs(kReadOnAfterMs);
            return connection.readBody(message, nowMs() + 20000, false) == ReadResult::Complete;
        }
        const bool isWhole = connection.readBody(message, nowMs() + 20000, false) == ReadResult::Complete;
        if (!early_) {
            sleepMs(kUploadWorkMs);
        }
        return isWhole && connection.write(answer);
    }

    /** The platform kills a process that exceeds its memory. */
    void watchMemory()
    {
        while (!stop_ && !killed_) {
            const long resident = daemon_.residentKib();
            peakKib_ = std::max(peakKib_.load(), resident);
            if (resident > kMemoryMb * 1024) {
                record_.add("platform: the daemon uses " + std::to_string(resident / 1024) + " MB of "
                            + std::to_string(kMemoryMb) + " MB; killed");
                killed_ = true;
                daemon_.kill(SIGKILL);
            }
            sleepMs(10);
        }
    }

    void readOften()
    {
        Connection connection;
        while (!stop_ && !killed_) {
            if (!connection.isOpen() && !connection.connect(host_.callers, 1000)) {
                sleepMs(50);
                continue;
            }
            const std::string id = newRequestId();
            Message answer;
            const bool sent = connection.write(request("GET", "/index/a", kHost, id, kTimeoutMs, 0));
            const ReadResult result = sent ? connection.readMessage(answer, nowMs() + 6000) : ReadResult::Closed;
            if (result == ReadResult::Complete && answer.status() == 200) {
                ++tally_.readsAnswered;
                continue;
            }
            if (result == ReadResult::Complete) {
                ++tally_.readsRefused;
                record_.add("read " + id + " answered " + std::to_string(answer.status()));
                sleepMs(100);
            } else {
                const std::lock_guard lock(mutex_);
                const bool hasRun = run_.count(id) > 0;
                record_.add("read " + id
                            + (hasRun ? ": passed on to the server, connection ended without an answer"
                                      : ": connection ended, not passed on"));
                ++(hasRun ? tally_.readsLost : tally_.readsNotRun);
            }
            connection.close();
        }
    }

    void uploadOften()
    {
        Connection connection;
        const std::int64_t until = nowMs() + kUploadMs;
        while (nowMs() < until && !killed_) {
            if (!connection.isOpen() && !connection.connect(host_.callers, 1000)) {
                return;
            }
            const bool leaves = !early_ && trouble_;
            const std::string id = newRequestId();
            Message answer;
            const std::int64_t begun = nowMs();
            const bool sent = connection.write(request("POST", "/waivers/" + id, kHost, id, kTimeoutMs, kUploadBytes));
            const ReadResult result = sent
                ? connection.readMessage(answer, begun + (leaves ? kLeaveAfterMs : kTimeoutMs + 1000))
                : ReadResult::Closed;
            const std::string end = result == ReadResult::Complete ? std::to_string(answer.status())
                : leaves && result == ReadResult::TimedOut         ? "the client left"
                                                                   : "no answer";
            record_.add("upload " + id + " of " + std::to_string(kUploadBytes >> 20U) + " MiB: " + end
                        + "; the daemon uses " + std::to_string(daemon_.residentKib() / 1024) + " MB");
            if (result == ReadResult::Complete) {
                ++(answer.status() == 200 ? tally_.uploadsAnswered : tally_.uploadsRefused);
            } else {
                ++(end == "no answer" ? tally_.uploadsLost : tally_.uploadsLeft);
            }
            if (result != ReadResult::Complete || lower(answer.field("Connection")) == "close") {
                connection.close();
            }
            sleepMs(kPauseMs);
        }
    }

    int report()
    {
        record_.add("uploads: " + std::to_string(tally_.uploadsAnswered) + " answered 200, "
                    + std::to_string(tally_.uploadsRefused) + " refused, " + std::to_string(tally_.uploadsLeft)
                    + " left by their clients, " + std::to_string(tally_.uploadsLost) + " lost");
        record_.add("reads: " + std::to_string(tally_.readsAnswered) + " answered 200, "
                    + std::to_string(tally_.readsRefused) + " refused, " + std::to_string(tally_.readsLost)
                    + " lost after they were passed on, " + std::to_string(tally_.readsNotRun) + " not passed on");
        record_.add("peak memory of the daemon: " + std::to_string(peakKib_ / 1024) + " MB of "
                    + std::to_string(kMemoryMb) + " MB");
        const bool isBroken = tally_.readsLost > 3;
        record_.add(isBroken ? "BROKEN: LOST" : "held");
        return isBroken ? 1 : 0;
    }

    Record &record_;
    bool early_;
    bool trouble_;
    Host host_{"sidecar-a-1", "zone-a", "waiver-store"};
    std::mutex mutex_;
    std::set<std::string> run_;
    Tally tally_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> killed_{false};
    std::atomic<long> peakKib_{0};
    Store store_;
    Daemon daemon_;
    Server server_;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5) {
        return 2;
    }
    const bool early = std::string(argv[4]) == "early";
    const bool trouble = std::string(argv[3]) != "0";
    raiseDescriptorLimit();
    Record record(std::string(argv[1]) + "/record.txt");
    record.add(std::string("disruption: ")
               + (!trouble    ? "none"
                      : early ? "uploads are answered before they are read"
                              : "clients leave before their uploads are answered"));
    Play play(record, argv[2], early, trouble);
    std::_Exit(play.run());
}
