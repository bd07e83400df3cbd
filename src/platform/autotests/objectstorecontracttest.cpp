#include "platform/httpobjectstore.h"
#include "platform/memoryobjectstore.h"
#include "platform_standin/platformserver.h"

#include <functional>
#include <memory>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace Hibiscus;

namespace
{

/** Never reached, however busy the machine is. */
constexpr Millis kCallTimeout{60000};
constexpr Millis kShortCallTimeout{300};
constexpr Millis kBeyondShortCallTimeout{1000};
constexpr Millis kLongLease{3600000};

/** A store under test together with the control of its faults. */
class StoreFixture
{
public:
    virtual ~StoreFixture() = default;
    virtual ObjectStore &store() = 0;
    virtual void setFaults(const StoreFaults &faults) = 0;
    virtual void lapseLeases() = 0;
};

class MemoryFixture : public StoreFixture
{
public:
    explicit MemoryFixture(Millis callTimeout)
        : store_(clock_, callTimeout)
    {
    }
    ObjectStore &store() override
    {
        return store_;
    }
    void setFaults(const StoreFaults &faults) override
    {
        store_.setFaults(faults);
    }
    void lapseLeases() override
    {
        store_.lapseLeases();
    }

private:
    SteadyClock clock_;
    MemoryObjectStore store_;
};

class HttpFixture : public StoreFixture
{
public:
    explicit HttpFixture(Millis callTimeout)
        : store_({server_.open().value(), "", kCallTimeout, callTimeout})
    {
    }
    ObjectStore &store() override
    {
        return store_;
    }
    void setFaults(const StoreFaults &faults) override
    {
        const std::string error =
            server_.applyFaults(fmt::format(R"({{"down": {}, "slow_ms": {}, "lose_answers": {}}})", faults.down,
                                            faults.slow.value, faults.loseAnswers));
        REQUIRE(error.empty());
    }
    void lapseLeases() override
    {
        REQUIRE(server_.applyFaults(R"({"lapse_leases": true})").empty());
    }

private:
    PlatformServer server_{PlatformServerSettings{}};
    HttpObjectStore store_;
};

/** Runs @p check against each implementation. */
void forEachStore(const std::function<void(StoreFixture &)> &check, Millis callTimeout = kCallTimeout)
{
    SUBCASE("memory")
    {
        MemoryFixture fixture(callTimeout);
        check(fixture);
    }
    SUBCASE("http")
    {
        HttpFixture fixture(callTimeout);
        check(fixture);
    }
}

template<class T>
std::optional<StoreError> errorOf(const StoreResult<T> &result)
{
    return result ? std::nullopt : std::optional(result.error());
}

} // namespace

TEST_CASE("ObjectStore: a conditional write takes effect only at the expected version")
{
    // Guards against a lost update between two operators, and against values altered on the way.
    forEachStore([](StoreFixture &fixture) {
        ObjectStore &store = fixture.store();
        const std::string value = std::string("a\0\r\n\xff", 5) + "%41 +/\"";
        const std::string key = "audit/1 a%b?c+d";
        CHECK(errorOf(store.get(key)) == StoreError::NotFound);
        CHECK(errorOf(store.update(key, value, 1)) == StoreError::NotFound);
        CHECK(store.create(key, value) == 1U);
        CHECK(errorOf(store.create(key, "other")) == StoreError::Conflict);
        CHECK(store.get(key)->value == value);
        CHECK(store.update(key, "second", 1) == 2U);
        CHECK(errorOf(store.update(key, "late", 1)) == StoreError::Conflict);
        CHECK(errorOf(store.update(key, "zero", 0)) == StoreError::Conflict);
        CHECK(store.get(key)->version == 2);
        CHECK(store.update(key, "", 2) == 3U);
        CHECK(store.get(key)->value.empty());
    });
}

TEST_CASE("ObjectStore: the size limit is exact")
{
    // Guards against a configuration that is accepted here and refused by the platform.
    forEachStore([](StoreFixture &fixture) {
        const std::string largest(kMaximumValueBytes, 'x');
        CHECK(fixture.store().create("largest", largest) == 1U);
        CHECK(fixture.store().get("largest")->value == largest);
        CHECK(errorOf(fixture.store().create("larger", largest + "x")) == StoreError::TooLarge);
        CHECK(errorOf(fixture.store().get("larger")) == StoreError::NotFound);
    });
}

TEST_CASE("ObjectStore: a listing has the keys of the prefix only")
{
    // Guards against audit entries that are missed or taken from another prefix.
    forEachStore([](StoreFixture &fixture) {
        ObjectStore &store = fixture.store();
        for (const char *key : {"b/1", "a/2", "a/1", "a", "ab"}) {
            REQUIRE(store.create(key, "v").has_value());
        }
        REQUIRE(store.update("a/2", "w", 1).has_value());
        const auto listed = store.list("a/");
        REQUIRE(listed.has_value());
        REQUIRE(listed->size() == 2);
        CHECK(listed->at(0).key == "a/1");
        CHECK(listed->at(1).key == "a/2");
        CHECK(listed->at(1).version == 2);
        CHECK(store.list("c")->empty());
    });
}

TEST_CASE("ObjectStore: a watch ends with a newer version, also of an object created later")
{
    // Guards against a change that an agent doesn't learn of until its next read.
    forEachStore([](StoreFixture &fixture) {
        ObjectStore &store = fixture.store();
        CHECK_FALSE(store.watch("config", 0, {0})->has_value());
        std::thread writer([&store] {
            CHECK(store.create("config", "first") == 1U);
            CHECK(store.update("config", "second", 1) == 2U);
        });
        const auto changed = store.watch("config", 1, {60000});
        writer.join();
        REQUIRE(changed.has_value());
        REQUIRE(changed->has_value());
        CHECK((*changed)->value == "second");
        CHECK((*changed)->version == 2);
        CHECK_FALSE(store.watch("config", 2, {0})->has_value());
        CHECK((*store.watch("config", 1, {0}))->version == 2);
    });
}

TEST_CASE("ObjectStore: an interrupted watch ends and later calls fail")
{
    // Guards against a daemon that can't stop while a watch waits.
    forEachStore([](StoreFixture &fixture) {
        std::thread watcher(
            [&fixture] { CHECK(errorOf(fixture.store().watch("config", 0, {3600000})) == StoreError::Unavailable); });
        fixture.store().interrupt();
        watcher.join();
        CHECK(errorOf(fixture.store().create("config", "v")) == StoreError::Unavailable);
    });
}

TEST_CASE("ObjectStore: a lease has one holder, and a fenced write of an earlier one is refused")
{
    // Guards against a paused agent that writes after its lease has passed to another.
    forEachStore([](StoreFixture &fixture) {
        ObjectStore &store = fixture.store();
        const auto first = store.acquire("agent/akan a", "p1", kLongLease);
        REQUIRE(first.has_value());
        CHECK(first->fencing > 0);
        CHECK(store.acquire("agent/akan a", "p1", kLongLease)->fencing == first->fencing);
        CHECK(errorOf(store.acquire("agent/akan a", "p2", kLongLease)) == StoreError::Conflict);
        CHECK(store.renew(*first)->fencing == first->fencing);
        CHECK(store.create("confirm", "v", first->fence()) == 1U);

        fixture.lapseLeases();
        CHECK(errorOf(store.renew(*first)) == StoreError::LeaseLost);
        CHECK(errorOf(store.update("confirm", "late", 1, first->fence())) == StoreError::LeaseLost);
        const auto second = store.acquire("agent/akan a", "p2", kLongLease);
        REQUIRE(second.has_value());
        CHECK(second->fencing > first->fencing);
        CHECK(errorOf(store.update("confirm", "late", 1, first->fence())) == StoreError::LeaseLost);
        CHECK(errorOf(store.release(*first)) == StoreError::LeaseLost);
        CHECK(store.update("confirm", "w", 1, second->fence()) == 2U);

        CHECK(store.release(*second).has_value());
        CHECK(errorOf(store.update("confirm", "x", 2, second->fence())) == StoreError::LeaseLost);
        CHECK(errorOf(store.create("other", "x", Fence{"no-such-lease", 1})) == StoreError::LeaseLost);
        CHECK(store.acquire("agent/akan a", "p1", kLongLease)->fencing > second->fencing);
        CHECK(store.get("confirm")->value == "w");
    });
}

namespace
{

struct FaultCase {
    const char *name;
    StoreFaults faults;
    std::optional<StoreError> onRead;
    std::optional<StoreError> onWrite;
    bool writeTakesEffect;
};

void checkFault(StoreFixture &fixture, const FaultCase &fault)
{
    CAPTURE(fault.name);
    ObjectStore &store = fixture.store();
    const auto lease = store.acquire(fault.name, "p1", kLongLease);
    REQUIRE(lease.has_value());
    REQUIRE(store.create(std::string("read ") + fault.name, "v").has_value());
    fixture.setFaults(fault.faults);
    CHECK(errorOf(store.get(std::string("read ") + fault.name)) == fault.onRead);
    CHECK(errorOf(store.list("")) == fault.onRead);
    CHECK(errorOf(store.watch(fault.name, 0, {0})) == fault.onRead);
    CHECK(errorOf(store.create(fault.name, "v")) == fault.onWrite);
    CHECK(errorOf(store.renew(*lease)) == fault.onWrite);

    fixture.setFaults({});
    // A write that was given up may still be on its way, hence the wait for its effect.
    const auto written = store.watch(fault.name, 0, {fault.writeTakesEffect ? 60000.0 : 0.0});
    REQUIRE(written.has_value());
    CHECK(written->has_value() == fault.writeTakesEffect);
}

} // namespace

TEST_CASE("ObjectStore: faults are told apart by whether something may have been written")
{
    // Guards against a write reported as not made that took effect, and against a read reported as ambiguous.
    static const std::vector<FaultCase> kCases{
        {"none", {}, std::nullopt, std::nullopt, true},
        {"down", {true, {}, 0}, StoreError::Unavailable, StoreError::Unavailable, false},
        {"down and slow", {true, {5}, 0}, StoreError::Unavailable, StoreError::Unavailable, false},
        {"slow within the timeout", {false, {5}, 0}, std::nullopt, std::nullopt, true},
        {"answer lost", {false, {}, 2}, std::nullopt, StoreError::Ambiguous, true},
    };
    forEachStore([](StoreFixture &fixture) {
        for (const FaultCase &fault : kCases) {
            checkFault(fixture, fault);
        }
    });
}

TEST_CASE("ObjectStore: a write that is given up because the store is slow is ambiguous")
{
    // Guards against a write that takes effect after it was reported as not made.
    forEachStore(
        [](StoreFixture &fixture) {
            checkFault(fixture,
                       {"slow beyond the timeout",
                        {false, kBeyondShortCallTimeout, 0},
                        StoreError::Unavailable,
                        StoreError::Ambiguous,
                        true});
        },
        kShortCallTimeout);
}

TEST_CASE("HttpObjectStore: without a connection nothing was written")
{
    // Guards against needless ambiguity when the platform's port is closed.
    HostAddress address;
    {
        PlatformServer server({});
        address = server.open().value();
    }
    HttpObjectStore store({address, "", kCallTimeout, kCallTimeout});
    CHECK(errorOf(store.create("key", "v")) == StoreError::Unavailable);
    CHECK(errorOf(store.get("key")) == StoreError::Unavailable);
}

TEST_CASE("HttpObjectStore: an answer that is not the platform's leaves a write ambiguous")
{
    // Guards against taking a gateway's error page or an answer without a version for a statement of the platform.
    for (const int status : {200, 400, 500, 502, 503}) {
        CAPTURE(status);
        httplib::Server server;
        const auto answer = [status](const httplib::Request &, httplib::Response &response) {
            response.status = status;
        };
        server.Get("/.*", answer);
        server.Put("/.*", answer);
        server.Post("/.*", answer);
        const int port = server.bind_to_any_port("127.0.0.1");
        std::thread thread([&server] { server.listen_after_bind(); });
        HttpObjectStore store({HostAddress("127.0.0.1:" + std::to_string(port)), "", kCallTimeout, kCallTimeout});
        CHECK(errorOf(store.create("key", "v")) == StoreError::Ambiguous);
        CHECK(errorOf(store.acquire("lease", "p1", kLongLease)) == StoreError::Ambiguous);
        CHECK(errorOf(store.get("key")) == StoreError::Unavailable);
        CHECK(errorOf(store.list("")) == StoreError::Unavailable);
        server.stop();
        thread.join();
    }
}
