// Case: clients on narrow links each download one large answer. They read all the time, a little in each step.
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr int kClients = 5;
constexpr std::size_t kAnswerBytes = 6U << 20U;
constexpr std::size_t kSlowBytesPerSecond = 64U << 10U;
constexpr std::int64_t kSlowMs = 45000; ///< Afterwards the clients read as fast as they can.
constexpr std::int64_t kApartMs = 400; ///< Between the requests of two clients.
constexpr int kClientTimeoutMs = 100000;
constexpr const char *kHost = "rafts.example";

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argv[1];
    const std::string work = argv[2];
    const bool trouble = std::string(argc > 3 ? argv[3] : "1") != "0";
    raiseDescriptorLimit();
    Record record(folder + "/record.txt");
    record.add(std::string("disruption: ") + (trouble ? "clients read slowly" : "none"));

    Store store(newAddress());
    store.put("config", "main",
              configuration(7, kHost,
                            {{"r-photos", "/photos/", "waiver-store", "download", kClientTimeoutMs, 800, 0, 2}},
                            {"waiver-store"}));
    Host host{"sidecar-a-1", "zone-a", "waiver-store"};
    std::atomic<int> run{0};
    Daemon daemon(host, store.address(), work);
    Server server(host, "i-waiver1", 316, [&](Connection &connection, Message &message) {
        const bool isFirst = message.target() == "/photos/first";
        run += isFirst ? 0 : 1;
        return connection.write(server.answer(message, 200, std::string(isFirst ? 1500 : kAnswerBytes, 'p')));
    });
    if (!daemon.waitUntilReady(15000)) {
        record.add("the daemon did not become ready");
        return 2;
    }
    sleepMs(3500);

    std::atomic<int> lost{0};
    std::atomic<int> complete{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            const std::string name = "client " + std::to_string(i);
            sleepMs(i * kApartMs);
            Connection connection;
            Message answer;
            if (!connection.connect(host.callers, 1000, 65536)
                || !connection.write(request("GET", "/photos/first", kHost, newRequestId(), kClientTimeoutMs, 0))
                || connection.readMessage(answer, nowMs() + 5000) != ReadResult::Complete) {
                record.add(name + ": no first answer");
                return;
            }
            const std::string id = newRequestId();
            const std::int64_t begun = nowMs();
            connection.write(request("GET", "/photos/" + std::to_string(i), kHost, id, kClientTimeoutMs, 0));
            if (connection.readHead(answer, nowMs() + 5000) != ReadResult::Complete || answer.status() != 200) {
                record.add(name + ": status " + std::to_string(answer.status()));
                return;
            }
            constexpr int kStepMs = 50;
            std::size_t received = connection.buffered();
            std::vector<char> bytes(1U << 20U);
            std::int64_t longestGap = 0;
            std::int64_t lastRead = nowMs();
            while (received < kAnswerBytes && nowMs() - begun < kClientTimeoutMs) {
                const bool slow = trouble && nowMs() - begun < kSlowMs;
                const std::size_t step = slow ? kSlowBytesPerSecond * kStepMs / 1000 : bytes.size();
                const ssize_t got = ::recv(connection.descriptor(), bytes.data(), step, MSG_DONTWAIT);
                if (got == 0 || (got < 0 && errno != EAGAIN)) {
                    break;
                }
                if (got > 0) {
                    received += static_cast<std::size_t>(got);
                    longestGap = std::max(longestGap, nowMs() - lastRead);
                    lastRead = nowMs();
                }
                sleepMs(slow ? kStepMs : 1);
            }
            const bool isComplete = received == kAnswerBytes;
            record.add(name + ": request " + id + " was run; " + std::to_string(received) + " bytes of "
                       + std::to_string(kAnswerBytes) + " in " + std::to_string(nowMs() - begun)
                       + " ms, longest time without a byte read " + std::to_string(longestGap) + " ms"
                       + (isComplete ? "" : "; the daemon closed the connection"));
            ++(isComplete ? complete : lost);
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.add("run " + std::to_string(run) + ", complete answers " + std::to_string(complete)
               + ", connections closed without one " + std::to_string(lost));
    const bool broken = lost > 3;
    record.add(broken ? "BROKEN: LOST" : "held");
    std::_Exit(broken ? 1 : 0);
}
