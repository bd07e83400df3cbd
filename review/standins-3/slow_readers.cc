// Case: clients pipeline requests for large answers and read them slowly. The head of the last request comes in two
// parts, a fifth of a second apart and well within "headerTimeout".
#include "standin.hh"

using namespace StandIn;

namespace
{

constexpr int kClients = 4;
constexpr int kPipelined = 12;
constexpr std::size_t kAnswerBytes = 1U << 20U;
constexpr std::size_t kSlowBytesPerSecond = 1U << 20U;
constexpr int kClientTimeoutMs = 25000;
constexpr int kHeadPartsApartMs = 200;
constexpr const char *kHost = "rafts.example";

/** Reads at most @p size bytes that are there; -1 at the end of the connection. */
ssize_t readSome(int fd, std::string &text, std::size_t size)
{
    std::string bytes(size, '\0');
    const ssize_t got = ::recv(fd, bytes.data(), size, MSG_DONTWAIT);
    if (got > 0) {
        text.append(bytes, 0, static_cast<std::size_t>(got));
        return got;
    }
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? 0 : -1;
}

/** Complete answers at the start of @p text, whatever their status. */
int countAnswers(const std::string &text)
{
    int count = 0;
    std::size_t at = 0;
    while (true) {
        const std::size_t end = text.find("\r\n\r\n", at);
        if (end == std::string::npos) {
            return count;
        }
        const std::size_t field = lower(text.substr(at, end - at)).find("content-length: ");
        const std::size_t size = std::stoul(text.substr(at + field + 16, 20));
        if (text.size() - end - 4 < size) {
            return count;
        }
        at = end + 4 + size;
        ++count;
    }
}

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
              configuration(7, kHost, {{"r-photos", "/photos/", "waiver-store", "download", 25000, 800, 0, 2}},
                            {"waiver-store"}));
    Host host{"sidecar-a-1", "zone-a", "waiver-store"};
    std::mutex mutex;
    std::set<std::string> run;
    Daemon daemon(host, store.address(), work);
    Server server(host, "i-waiver1", 316, [&](Connection &connection, Message &message) {
        {
            const std::lock_guard lock(mutex);
            run.insert(message.field("Hibiscusdale-Request-Id"));
        }
        sleepMs(15);
        return connection.write(server.answer(message, 200, std::string(kAnswerBytes, 'p')));
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
            Connection connection;
            Message answer;
            // The connection is a kept one.
            if (!connection.connect(host.callers, 1000, 65536)
                || !connection.write(request("GET", "/photos/first", kHost, newRequestId(), kClientTimeoutMs, 0))
                || connection.readMessage(answer, nowMs() + 5000) != ReadResult::Complete) {
                record.add("client " + std::to_string(i) + ": no first answer");
                return;
            }
            std::vector<std::string> ids;
            std::string pipelined;
            for (int n = 0; n < kPipelined; ++n) {
                ids.push_back(newRequestId());
                pipelined += request("GET", "/photos/" + std::to_string(n), kHost, ids.back(), kClientTimeoutMs, 0);
            }
            ids.push_back(newRequestId());
            const std::string last = request("GET", "/photos/last", kHost, ids.back(), kClientTimeoutMs, 0);
            const std::size_t half = last.size() / 2;
            const std::int64_t begun = nowMs();
            connection.write(pipelined + last.substr(0, half));
            sleepMs(kHeadPartsApartMs);
            connection.write(last.substr(half));
            record.add("client " + std::to_string(i) + ": sent " + std::to_string(ids.size())
                       + " requests, the head of the last one within " + std::to_string(nowMs() - begun) + " ms");
            std::string received;
            const int wanted = static_cast<int>(ids.size());
            const std::int64_t until = nowMs() + kClientTimeoutMs;
            bool ended = false;
            constexpr int kStepMs = 20;
            const std::size_t step = trouble ? kSlowBytesPerSecond * kStepMs / 1000 : 1U << 20U;
            while (!ended && nowMs() < until && countAnswers(received) < wanted) {
                ended = readSome(connection.descriptor(), received, step) < 0;
                sleepMs(trouble ? kStepMs : 1);
            }
            const int answered = countAnswers(received);
            int cut = 0;
            for (int n = answered; n < wanted; ++n) {
                const std::lock_guard lock(mutex);
                cut += ended && run.count(ids[static_cast<std::size_t>(n)]) > 0 ? 1 : 0;
            }
            record.add("client " + std::to_string(i) + ": " + std::to_string(answered) + " complete answers, "
                       + std::to_string(received.size()) + " bytes in " + std::to_string(nowMs() - begun) + " ms; "
                       + (ended ? "the daemon closed the connection; " : "") + std::to_string(cut)
                       + " requests were run and have no complete answer");
            complete += answered;
            lost += cut;
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.add("complete answers " + std::to_string(complete) + ", run and lost " + std::to_string(lost));
    const bool broken = lost > 3;
    record.add(broken ? "BROKEN: LOST" : "held");
    std::_Exit(broken ? 1 : 0);
}
