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

/** Timeout that no call reaches, even on a busy machine. */
constexpr Millis kCallTimeout{60000};
constexpr Millis kShortCallTimeout{300};
constexpr Millis kBeyondShortCallTimeout{1000};

/** A store under test whose faults can be set. */
class StoreFixture
{
public:
    virtual ~StoreFixture() = default;
    virtual ObjectStore &store() = 0;
    virtual void setFaults(const StoreFaults &faults) = 0;
};

class MemoryFixture : public StoreFixture
{
public:
    explicit MemoryFixture(Millis callTimeout)
        : store_(callTimeout)
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

private:
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
                                            faults.delay.value, faults.responsesToDrop));
        REQUIRE(error.empty());
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
    // Guards against a lost update between two operators, and against values that are altered in transit.
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
    // Guards against a configuration that is accepted here but rejected by the platform.
    forEachStore([](StoreFixture &fixture) {
        const std::string largest(kMaximumValueBytes, 'x');
        CHECK(fixture.store().create("largest", largest) == 1U);
        CHECK(fixture.store().get("largest")->value == largest);
        CHECK(errorOf(fixture.store().create("larger", largest + "x")) == StoreError::TooLarge);
        CHECK(errorOf(fixture.store().get("larger")) == StoreError::NotFound);
    });
}

TEST_CASE("ObjectStore: a listing contains exactly the keys with the prefix")
{
    // Guards against audit entries that are missing or belong to another prefix.
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

TEST_CASE("ObjectStore: a watch of a kind returns every change after a listing in order, and no other change")
{
    // Guards against a server or a configuration that a daemon doesn't see before its next listing.
    forEachStore([](StoreFixture &fixture) {
        ObjectStore &store = fixture.store();
        REQUIRE(store.create("servers/a", "1").has_value());
        REQUIRE(store.create("other/x", "1").has_value());
        const auto listing = store.listKind("servers", ReadMode::Latest);
        REQUIRE(listing.has_value());
        REQUIRE(listing->objects.size() == 1);
        CHECK(listing->objects[0].key == "servers/a");
        CHECK(listing->objects[0].object.value == "1");
        CHECK(store.watchKind("servers", listing->revision, {0}, ReadMode::Latest)->changes.empty());
        std::thread writer([&store] {
            REQUIRE(store.create("other/y", "1").has_value());
            REQUIRE(store.update("servers/a", "2", 1).has_value());
        });
        const auto first = store.watchKind("servers", listing->revision, {60000}, ReadMode::Latest);
        writer.join();
        REQUIRE(first.has_value());
        REQUIRE(first->changes.size() == 1);
        CHECK(first->changes[0].object.value == "2");
        REQUIRE(store.remove("servers/a", 2).has_value());
        REQUIRE(store.create("servers/a", "3").has_value());
        const auto second = store.watchKind("servers", first->revision, {0}, ReadMode::Latest);
        REQUIRE(second.has_value());
        REQUIRE(second->changes.size() == 2);
        CHECK(second->changes[0].removed);
        CHECK_FALSE(second->changes[1].removed);
        CHECK(second->changes[1].object.version > 2);
    });
}

TEST_CASE("ObjectStore: a removal takes effect only at the expected version")
{
    // Guards against a late removal that deletes a newer registration.
    forEachStore([](StoreFixture &fixture) {
        ObjectStore &store = fixture.store();
        CHECK(errorOf(store.remove("servers/a", 1)) == StoreError::NotFound);
        REQUIRE(store.create("servers/a", "1").has_value());
        REQUIRE(store.update("servers/a", "2", 1).has_value());
        CHECK(errorOf(store.remove("servers/a", 1)) == StoreError::Conflict);
        CHECK(store.remove("servers/a", 2).has_value());
        CHECK(errorOf(store.get("servers/a")) == StoreError::NotFound);
    });
}

TEST_CASE("MemoryObjectStore: a watch from before the start of the history fails with HistoryLost")
{
    // Guards against a watch that omits changes without an error because the store has dropped them from its history.
    MemoryObjectStore store;
    REQUIRE(store.create("servers/a", "1").has_value());
    store.dropHistory();
    CHECK(errorOf(store.watchKind("servers", 0, {0}, ReadMode::Latest)) == StoreError::HistoryLost);
    CHECK(store.watchKind("servers", 1, {0}, ReadMode::Latest).has_value());
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
    REQUIRE(store.create(std::string("read ") + fault.name, "v").has_value());
    const std::uint64_t before = store.listKind("faults", ReadMode::Latest)->revision;
    fixture.setFaults(fault.faults);
    CHECK(errorOf(store.get(std::string("read ") + fault.name)) == fault.onRead);
    CHECK(errorOf(store.list("")) == fault.onRead);
    CHECK(errorOf(store.watchKind("faults", 0, {0}, ReadMode::Latest)) == fault.onRead);
    CHECK(errorOf(store.create(std::string("faults/") + fault.name, "v")) == fault.onWrite);
    CHECK(errorOf(store.update(std::string("read ") + fault.name, "w", 1)) == fault.onWrite);

    fixture.setFaults({});
    // A write that timed out may still be in progress, so its effect is waited for.
    const auto written = store.watchKind("faults", before, {fault.writeTakesEffect ? 60000.0 : 0.0}, ReadMode::Latest);
    REQUIRE(written.has_value());
    const bool found = !written->changes.empty() && written->changes.back().key == std::string("faults/") + fault.name;
    CHECK(found == fault.writeTakesEffect);
}

} // namespace

TEST_CASE("ObjectStore: the error of a failed write says whether it may have taken effect")
{
    // Guards against a write that took effect but is reported as not made, and a read that is reported as ambiguous.
    static const std::vector<FaultCase> kCases{
        {"none", {}, std::nullopt, std::nullopt, true},
        {"down", {true, {}, 0}, StoreError::Unavailable, StoreError::Unavailable, false},
        {"down and slow", {true, {5}, 0}, StoreError::Unavailable, StoreError::Unavailable, false},
        {"slow within the timeout", {false, {5}, 0}, std::nullopt, std::nullopt, true},
        {"response lost", {false, {}, 2}, std::nullopt, StoreError::Ambiguous, true},
    };
    forEachStore([](StoreFixture &fixture) {
        for (const FaultCase &fault : kCases) {
            checkFault(fixture, fault);
        }
    });
}

TEST_CASE("ObjectStore: a write that times out on a slow store is ambiguous")
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

TEST_CASE("HttpObjectStore: a call without a connection fails with Unavailable")
{
    // Guards against a write that is reported as ambiguous although the platform's port is closed.
    HostAddress address;
    {
        PlatformServer server({});
        address = server.open().value();
    }
    HttpObjectStore store({address, "", kCallTimeout, kCallTimeout});
    CHECK(errorOf(store.create("key", "v")) == StoreError::Unavailable);
    CHECK(errorOf(store.get("key")) == StoreError::Unavailable);
}

TEST_CASE("HttpObjectStore: a write is ambiguous after a response that is not from the platform")
{
    // Guards against interpreting the error page of a gateway, or a response without a version, as the platform's.
    for (const int status : {200, 400, 500, 502, 503}) {
        CAPTURE(status);
        httplib::Server server;
        const auto respond = [status](const httplib::Request &, httplib::Response &response) {
            response.status = status;
        };
        server.Get("/.*", respond);
        server.Put("/.*", respond);
        server.Post("/.*", respond);
        server.Delete("/.*", respond);
        const int port = server.bind_to_any_port("127.0.0.1");
        std::thread thread([&server] { server.listen_after_bind(); });
        HttpObjectStore store({HostAddress("127.0.0.1:" + std::to_string(port)), "", kCallTimeout, kCallTimeout});
        CHECK(errorOf(store.create("key", "v")) == StoreError::Ambiguous);
        if (status >= 300) {
            CHECK(errorOf(store.remove("key", 1)) == StoreError::Ambiguous);
        }
        CHECK(errorOf(store.get("key")) == StoreError::Unavailable);
        CHECK(errorOf(store.list("")) == StoreError::Unavailable);
        server.stop();
        thread.join();
    }
}

TEST_CASE("HttpObjectStore: a store that comes back from a copy names another era and gives out its revisions again")
{
    // Guards against an era that is lost between the platform and a daemon.
    PlatformServer server({HostAddress("127.0.0.1:0")});
    const auto address = server.open();
    REQUIRE(address.has_value());
    StoreTransportSettings settings;
    settings.address = *address;
    HttpObjectStore store(settings);
    REQUIRE(store.create("k/a", "1").has_value());
    CHECK(server.applyFaults(R"({"save_copy": true})").empty());
    REQUIRE(store.update("k/a", "2", 1).has_value());
    const auto before = store.listKind("k", ReadMode::Latest);
    REQUIRE(before.has_value());
    CHECK(server.applyFaults(R"({"return_to_copy": true})").empty());
    const auto after = store.listKind("k", ReadMode::Latest);
    REQUIRE(after.has_value());
    CHECK(after->objects.front().object.value == "1");
    CHECK(after->era == before->era + 1);
    CHECK(store.watchKind("k", before->revision, Millis{0}, ReadMode::Latest).error() == StoreError::HistoryLost);
    CHECK(store.update("k/a", "other", 1) == 2U);
    const auto overtaken = store.watchKind("k", before->revision - 1, Millis{0}, ReadMode::Latest);
    REQUIRE(overtaken.has_value());
    CHECK(overtaken->era == after->era);
}
