// A version of the configuration takes away the last tenant: its table of tenants is empty. The daemon takes that for a
// configuration without tenants, lets requests with the withdrawn key run and passes the key on to the server.
#include "../standins-2/rig.hh"

using namespace rig;

namespace
{

constexpr std::int64_t kConfigApplyMs = 2500; ///< Bound `configApply`.
constexpr std::int64_t kWatchedMs = 6000;
constexpr const char *kKey = "3nax7u27gxprymh2rryt";

struct Sent {
    std::int64_t at = 0;
    int status = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = prepare(argc, argv);
    Store store;
    if (!store.open()) {
        finish(folder, kExitNotRun);
    }
    const auto writeVersion = [&](int version, const Json &tenants) {
        store.writeConfig({{"version", version},
                           {"routes", {{"r-seal", route("jepu9.example", "/seal/", "unsafe", "command-svc")}}},
                           {"services", {{"command-svc", service()}}},
                           {"limits", limits()},
                           {"tenants", tenants}});
    };
    const auto tenant = [](const Json &keys) {
        return Json{{"apiKeys", keys}, {"priority", 1}, {"ratePerS", 823}, {"burst", 823}};
    };
    writeVersion(7, {{"pulo780", tenant({kKey})}});
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 3; ++i) {
        const Machine machine{"sidecar-a-" + std::to_string(i), "a", "command-svc"};
        daemons.push_back(std::make_unique<Daemon>(machine, store.address(), folder));
        daemons.back()->start();
        servers.push_back(std::make_unique<Server>(machine, "i-7f3a91c" + std::to_string(i), 10));
        if (!servers.back()->start()) {
            finish(folder, kExitNotRun);
        }
    }
    for (const auto &daemon : daemons) {
        if (!daemon->waitReady(8000)) {
            finish(folder, kExitNotRun);
        }
    }
    sleepMs(4000);

    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::atomic<bool> isSending{true};
    std::vector<std::thread> clients;
    for (const auto &daemon : daemons) {
        clients.emplace_back([&, address = daemon->machine().callers] {
            const ConnectionPtr connection = Connection::to(address);
            while (isSending && connection) {
                const std::string id = newId();
                {
                    const std::lock_guard lock(mutex);
                    sent[id].at = now();
                }
                connection->send("POST /seal/release HTTP/1.1\r\nHost: jepu9.example\r\nAuthorization: Bearer "
                                 + std::string(kKey) + "\r\nHibiscusdale-Request-Id: " + id
                                 + "\r\nHibiscusdale-Timeout-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}");
                const std::optional<Message> answer = connection->read(6000);
                if (!answer) {
                    break;
                }
                const std::lock_guard lock(mutex);
                sent[id].status = answer->status();
                sleepMs(20);
            }
        });
    }
    sleepMs(3000);
    // Without the disruption the same key is taken away, and another tenant remains.
    writeVersion(9, hasTrouble() ? Json::object() : Json{{"boma217", tenant({"apjsujqurtyiikdrbn4r"})}});
    const std::int64_t acknowledged = now();
    record.line("version 9, without the key, is acknowledged; it holds %s", hasTrouble() ? "no tenant" : "another tenant");
    sleepMs(kWatchedMs);
    isSending = false;
    for (std::thread &client : clients) {
        client.join();
    }

    int before = 0;
    int late = 0;
    int refused = 0;
    for (const Run &run : runLog.all()) {
        const std::int64_t at = sent[run.id].at;
        before += at < acknowledged;
        late += at > acknowledged + kConfigApplyMs;
    }
    for (const auto &[id, request] : sent) {
        refused += request.at > acknowledged + kConfigApplyMs && request.status == 401;
    }
    record.line("requests with the key that ran before the ack: %d; sent later than `configApply` after it: %d ran, %d got 401",
                before, late, refused);
    record.line("requests that reached servers with the key itself: %d", keysSeen.load());
    finish(folder, late > 0 ? kExitBroken : kExitHeld);
}
