// Case: clients offer to upgrade the connection, as HTTP/1.1 clients that also speak HTTP/2 do. The fields of the offer
// concern only one connection, and a recipient that doesn't upgrade ignores them.
#include "standin.h"

using namespace StandIn;

namespace
{

constexpr int kClients = 10;
constexpr int kRequests = 8;
constexpr const char *kHost = "rafts.example";
constexpr const char *kOffer = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                               "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n";

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        return 2;
    }
    const std::string folder = argv[1];
    const bool trouble = std::string(argv[3]) != "0";
    Record record(folder + "/record.txt");
    record.add(std::string("disruption: ") + (trouble ? "clients offer an upgrade" : "none"));

    Store store(newAddress());
    store.put("config", "main",
              configuration(7, kHost,
                            {{"r-browse", "/slots/", "raft-catalogue", "safe", 5000, 1200, 2, 2},
                             {"r-pay", "/deposits/", "raft-catalogue", "unsafe", 5000, 1500, 0, 2}},
                            {"raft-catalogue"}));
    Host host{"sidecar-a-1", "zone-a", "raft-catalogue"};
    std::atomic<int> run{0};
    Daemon daemon(host, store.address(), argv[2]);
    Server server(host, "i-raft1", 158, [&](Connection &connection, Message &message) {
        ++run;
        return connection.readBody(message, kForever) == ReadResult::Complete
            && connection.write(server.answer(message, 200, std::string(1500, 'r')));
    });
    if (!daemon.waitUntilReady(15000)) {
        record.add("the daemon did not become ready");
        return 2;
    }
    sleepMs(3500);

    std::mutex mutex;
    std::map<int, int> answers; ///< By status; 0 for none.
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&] {
            for (int n = 0; n < kRequests; ++n) {
                Connection connection;
                Message answer;
                const std::string id = newRequestId();
                const bool pays = n % 2 == 1;
                const std::string text = request(pays ? "POST" : "GET", pays ? "/deposits/a" : "/slots/a", kHost, id,
                                                 5000, pays ? 1200 : 0, trouble ? kOffer : "");
                const bool isAnswered = connection.connect(host.callers, 1000) && connection.write(text)
                    && connection.readMessage(answer, nowMs() + 6000) == ReadResult::Complete;
                const int status = isAnswered ? answer.status() : 0;
                {
                    const std::lock_guard lock(mutex);
                    ++answers[status];
                }
                record.add(std::string(pays ? "POST" : "GET") + " " + id + " answered " + std::to_string(status)
                           + (answer.field("Hibiscusdale-Server-Seal").empty() ? ", no seal" : ", sealed"));
                sleepMs(100);
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::string summary = "requests " + std::to_string(kClients * kRequests) + ", run " + std::to_string(run);
    int denied = 0;
    for (const auto &[status, count] : answers) {
        summary += ", " + std::to_string(status) + ": " + std::to_string(count);
        denied += status / 100 == 4 && status != 408 && status != 421 && status != 429 ? count : 0;
    }
    record.add(summary);
    const bool isBroken = denied > 5 + kClients * kRequests / 500;
    record.add(isBroken ? "BROKEN: DENIED" : "held");
    std::_Exit(isBroken ? 1 : 0);
}
