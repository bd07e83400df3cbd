#include "discovery/deploymentsync.h"

#include "core/randomsource.h"
#include "core/steadyclock.h"
#include "http/httpserver.h"
#include "platform/autotests/sharedobjectstore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr const char *kConfigurationKey = "config/main";
constexpr Millis kReportAge{0};

/** Clock that a test puts forward. */
class ShiftedClock : public Clock
{
public:
    TimePoint now() const override
    {
        return clock_.now() + shift;
    }
    Millis shift;

private:
    SteadyClock clock_;
};

/** A daemon that synchronizes with the store and with other daemons. */
class Node : public HttpHandler
{
public:
    Node(asio::io_context &context, HttpClient &client, int number, const std::shared_ptr<MemoryObjectStore> &store)
        : random_(static_cast<std::uint64_t>(number))
        , store_(store)
        , server_(context, {HostAddress("127.0.0.1:0")}, *this)
        , address_(*server_.open())
        , own{ServerName("s" + std::to_string(number)),
              ServiceName("desk"),
              FailureDomainName("a"),
              address_,
              Incarnation(1),
              1000,
              1000,
              4,
              ServerState::Ready}
        , sync(context.get_executor(), store_, client, clock, random_, {address_, kConfigurationKey, {}},
               {[this](const std::string &value, std::uint64_t, StoreHistory) { return adoptConfiguration(value); },
                [] {}, [](const ServerRegistration &) {},
                [this] { return hasServer ? std::optional(own) : std::nullopt; }, [this] { return crashes; },
                [this](const std::vector<CrashReport> &reports) { return mergeCrashes(reports); }})
    {
    }

    void handle(HttpRequest request, HttpResponder respond) override
    {
        respond({200, {}, sync.handleRequest(request.body)});
    }

    /** Takes numbers that are higher than the one in force. */
    bool adoptConfiguration(const std::string &value)
    {
        if (!configuration.empty() && std::stoi(value) <= std::stoi(configuration)) {
            return false;
        }
        configuration = value;
        return true;
    }

    bool mergeCrashes(const std::vector<CrashReport> &reports)
    {
        const bool isNew = crashes.empty() && !reports.empty();
        if (isNew) {
            crashes = reports;
        }
        return isNew;
    }

    /** Reports that the server beside this daemon has left. */
    ServerRegistration retireServer()
    {
        hasServer = false;
        ServerRegistration left = own;
        left.state = ServerState::Left;
        sync.retire(left);
        return left;
    }

    std::vector<CrashReport> crashes;
    std::string configuration; ///< In force.
    ShiftedClock clock;
    bool hasServer = true;

private:
    SeededRandom random_;
    SharedObjectStore store_;
    HttpServer server_;
    HostAddress address_;

public:
    ServerRegistration own;
    DeploymentSync sync;
};

/** Daemons that share a store and one event loop. */
class Deployment
{
public:
    explicit Deployment(int count)
    {
        store->create(kConfigurationKey, "1");
        for (int i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<Node>(context, client_, i, store));
        }
    }
    ~Deployment()
    {
        for (const auto &node : nodes) {
            node->sync.stop();
        }
    }

    void start()
    {
        for (const auto &node : nodes) {
            node->sync.publish();
            node->sync.start();
        }
    }

    /** Runs the event loop until @p isReached holds; bounded by the timeout of the test program. */
    void runUntil(const std::function<bool()> &isReached)
    {
        while (!isReached()) {
            context.run_one();
        }
    }

    /** The same, but gives up after a time that no sound run needs; whether @p isReached holds then. */
    bool runFor(const std::function<bool()> &isReached)
    {
        const SteadyClock clock;
        const TimePoint end = clock.now() + Millis{20000};
        while (!isReached() && clock.now() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        return isReached();
    }

    /** Lets a second pass for all daemons. */
    void advanceClocks()
    {
        for (const auto &node : nodes) {
            node->clock.shift = node->clock.shift + Millis{1000};
        }
    }

    /** Whether the store has an entry of that server in that state. */
    bool isStored(const ServerName &name, ServerState state) const
    {
        const auto stored = store->get(registrationKey(name));
        return stored && parseRegistration(name, stored->value)->state == state;
    }

    std::size_t receiverCount() const
    {
        std::size_t count = 0;
        for (const auto &node : nodes) {
            count += node->crashes.empty() ? 0U : 1U;
        }
        return count;
    }

    asio::io_context context;
    std::shared_ptr<MemoryObjectStore> store = std::make_shared<MemoryObjectStore>();
    std::vector<std::unique_ptr<Node>> nodes;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context);
    HttpClient client_{context};
};

} // namespace

TEST_CASE("DeploymentSync: registrations of a previous process are withdrawn if the store is read after the check-in")
{
    // Guards against servers that no longer exist but stay in the directory, where daemons keep sending them requests.
    Deployment deployment(1);
    Node &node = *deployment.nodes.front();
    const auto isStored = [&](const char *name) {
        return deployment.store->get(std::string(kRegistrationKind) + "/" + name).has_value();
    };
    const auto addRegistration = [&](const char *name, std::int64_t startedAt) {
        ServerRegistration entry = node.own;
        entry.name = ServerName(name);
        entry.startedAt = startedAt;
        deployment.store->create(std::string(kRegistrationKind) + "/" + name, serializeRegistration(entry));
    };
    addRegistration("former", node.own.startedAt - 1);
    addRegistration("later", node.own.startedAt + 1);
    deployment.start();
    deployment.runUntil([&] { return !isStored("former"); });
    CHECK(isStored("s0"));
    CHECK(isStored("later"));
}

TEST_CASE("DeploymentSync: a crash report reaches more daemons than those that are notified directly")
{
    // Guards against a request that goes on crashing servers because their daemons never received the earlier reports.
    constexpr int kNodes = 60;
    constexpr std::size_t kExpectedReceivers = 50; ///< Nearly all, since each daemon propagates to a few random ones.
    Deployment deployment(kNodes);
    deployment.start();
    deployment.runUntil([&] {
        return std::all_of(deployment.nodes.begin(), deployment.nodes.end(),
                           [](const auto &node) { return node->sync.directory().entries().size() == kNodes; });
    });
    deployment.nodes.front()->crashes = {{{Incarnation(7), 1}, kReportAge, {Signature(3)}, {}}};
    deployment.nodes.front()->sync.announce();
    deployment.runUntil([&] { return deployment.receiverCount() >= kExpectedReceivers; });
    CHECK(deployment.receiverCount() >= kExpectedReceivers);
}

TEST_CASE(
    "DeploymentSync: a configuration written after the store came back older is taken, though its revision is lower")
{
    // Guards against revisions of a lost history that are compared with those of the present one.
    Deployment deployment(2);
    deployment.start();
    const auto isInForce = [&](const std::string &value) {
        return deployment.runFor([&] {
            return std::all_of(deployment.nodes.begin(), deployment.nodes.end(),
                               [&](const auto &node) { return node->configuration == value; });
        });
    };
    REQUIRE(isInForce("1"));
    deployment.store->saveCopy();
    std::uint64_t version = 1;
    for (const char *value : {"2", "3", "4"}) {
        version = *deployment.store->update(kConfigurationKey, value, version);
        REQUIRE(isInForce(value));
    }
    deployment.store->returnToCopy();
    CHECK(*deployment.store->update(kConfigurationKey, "5", 1) < version);
    CHECK(isInForce("5"));
}

TEST_CASE(
    "DeploymentSync: a store that comes back older twice gets back what daemons wrote, and nothing that was removed")
{
    // Guards against servers that vanish, or that come back, with the copy of the store.
    Deployment deployment(2);
    Node &node = *deployment.nodes.front();
    const std::string key = registrationKey(node.own.name);
    const auto isStored = [&](const ServerState state) {
        const auto stored = deployment.store->get(key);
        return stored && parseRegistration(node.own.name, stored->value)->state == state;
    };
    const auto stays = [&] {
        return std::all_of(deployment.nodes.begin(), deployment.nodes.end(),
                           [](const auto &each) { return each->sync.directory().entries().size() == 2; });
    };
    const auto isConfirmed = [&] {
        return std::all_of(deployment.nodes.begin(), deployment.nodes.end(), [&](const auto &each) {
            const auto &entries = each->sync.directory().entries();
            return std::all_of(entries.begin(), entries.end(),
                               [](const auto &entry) { return entry.second.revision.number > 0; });
        });
    };
    deployment.store->saveCopy();
    deployment.start();
    REQUIRE(deployment.runFor([&] { return isStored(ServerState::Ready) && stays() && isConfirmed(); }));
    // Back to a store that has never had the registrations.
    deployment.store->returnToCopy();
    CHECK(deployment.runFor([&] {
        CHECK(stays());
        return isStored(ServerState::Ready);
    }));
    deployment.store->saveCopy();
    node.own.state = ServerState::Draining;
    node.sync.publish();
    const ServerDirectory &seenByOther = deployment.nodes.back()->sync.directory();
    const auto isDrainingForOther = [&] {
        return seenByOther.find(node.own.name)->registration.state == ServerState::Draining;
    };
    REQUIRE(deployment.runFor([&] { return isStored(ServerState::Draining) && isDrainingForOther(); }));
    // Back to one in which the draining server is ready.
    deployment.store->returnToCopy();
    CHECK(deployment.runFor([&] {
        CHECK(isDrainingForOther());
        return isStored(ServerState::Draining);
    }));
}

TEST_CASE("DeploymentSync: a daemon that starts beside a store that came back older learns the configuration in force")
{
    // Guards against a restarted daemon that works by an older configuration while the others keep the confirmed one.
    Deployment deployment(2);
    deployment.store->saveCopy();
    Node &early = *deployment.nodes.front();
    early.sync.publish();
    early.sync.start();
    REQUIRE(deployment.store->update(kConfigurationKey, "2", 1).has_value());
    REQUIRE(deployment.runFor([&] { return early.configuration == "2"; }));
    deployment.store->returnToCopy();
    Node &late = *deployment.nodes.back();
    late.sync.publish();
    late.sync.start();
    CHECK(deployment.runFor([&] { return late.configuration == "2"; }));
    CHECK(early.configuration == "2");
}

TEST_CASE("DeploymentSync: the entry of a server that left outlasts an older store, until nothing of it can arrive")
{
    // Guards against a restarted daemon that finds no proof that its server had left, and against entries that nobody
    // removes.
    Deployment deployment(2);
    Node &node = *deployment.nodes.front();
    const ServerDirectory &seenByOther = deployment.nodes.back()->sync.directory();
    const ServerName name = node.own.name;
    deployment.start();
    REQUIRE(deployment.runFor(
        [&] { return deployment.isStored(name, ServerState::Ready) && seenByOther.find(name) != nullptr; }));
    deployment.store->saveCopy();
    node.retireServer();
    REQUIRE(deployment.runFor([&] {
        return deployment.isStored(name, ServerState::Left)
            && seenByOther.find(name)->registration.state == ServerState::Left;
    }));
    deployment.store->returnToCopy();
    CHECK(deployment.runFor([&] {
        CHECK(seenByOther.find(name)->registration.state == ServerState::Left);
        return deployment.isStored(name, ServerState::Left);
    }));
    CHECK(deployment.runFor([&] {
        deployment.advanceClocks();
        return !deployment.store->get(registrationKey(name)).has_value() && seenByOther.find(name) == nullptr;
    }));
}

TEST_CASE("DeploymentSync: a restarted daemon learns from others that its server had left, and writes it again")
{
    // Guards against a server that had left and is in use again, since the store came back from an older copy while the
    // daemon beside it restarted.
    Deployment deployment(2);
    Node &other = *deployment.nodes.front();
    Node &restarted = *deployment.nodes.back();
    deployment.store->saveCopy();
    other.sync.publish();
    other.sync.start();
    ServerRegistration left = restarted.own;
    left.state = ServerState::Left;
    REQUIRE(deployment.store->create(registrationKey(left.name), serializeRegistration(left)).has_value());
    REQUIRE(deployment.runFor([&] { return other.sync.directory().find(left.name) != nullptr; }));
    deployment.store->returnToCopy();
    restarted.hasServer = false;
    restarted.sync.start();
    CHECK(deployment.runFor([&] { return deployment.isStored(left.name, ServerState::Left); }));
}

TEST_CASE("DeploymentSync: the entry of a server that left with its host is removed by another daemon")
{
    // Guards against entries that stay for ever, since the daemon that wrote them is gone for good.
    Deployment deployment(2);
    ServerRegistration left = deployment.nodes.front()->own;
    left.name = ServerName("gone");
    left.daemon = HostAddress("127.0.0.1:1");
    left.state = ServerState::Left;
    REQUIRE(deployment.store->create(registrationKey(left.name), serializeRegistration(left)).has_value());
    deployment.start();
    const auto areKnown = [&] {
        return std::all_of(deployment.nodes.begin(), deployment.nodes.end(),
                           [](const auto &node) { return node->sync.directory().entries().size() == 3; });
    };
    REQUIRE(deployment.runFor(areKnown));
    CHECK(deployment.runFor([&] {
        deployment.advanceClocks();
        return !deployment.store->get(registrationKey(left.name)).has_value();
    }));
}
