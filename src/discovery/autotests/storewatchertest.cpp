#include "discovery/storewatcher.h"

#include <atomic>
#include <future>
#include <mutex>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr Millis kWatchTimeout{2000};
constexpr const char *kRecheckedKind = "config";

/** Store with scripted responses to watches; the first watch beyond the script ends the test. */
class ScriptedStore : public ObjectStore
{
public:
    std::vector<StoreResult<ChangeBatch>> watches;
    std::vector<std::uint64_t> listingEras; ///< Of the listings in turn; the others name none.
    std::vector<Millis> waits;
    int listings = 0;
    int rechecks = 0;
    std::promise<void> finished;

    StoreResult<ObjectListing> listKind(const std::string &kind, ReadMode) override
    {
        if (kind == kRecheckedKind) {
            ++rechecks;
            return ObjectListing{};
        }
        const auto index = static_cast<std::size_t>(listings++);
        const std::uint64_t era = index < listingEras.size() ? listingEras[index] : 0;
        return ObjectListing{{}, static_cast<std::uint64_t>(10 * listings), era};
    }
    StoreResult<ChangeBatch> watchKind(const std::string &, std::uint64_t, Millis timeout, ReadMode) override
    {
        if (waits.size() == watches.size()) {
            if (!std::exchange(ended_, true)) {
                finished.set_value();
            }
            return tl::unexpected(StoreError::Unavailable);
        }
        waits.push_back(timeout);
        return watches[waits.size() - 1];
    }
    StoreResult<StoredObject> get(const std::string &) override
    {
        return tl::unexpected(StoreError::NotFound);
    }
    StoreResult<std::uint64_t> create(const std::string &, const std::string &) override
    {
        return tl::unexpected(StoreError::Unavailable);
    }
    StoreResult<std::uint64_t> update(const std::string &, const std::string &, std::uint64_t) override
    {
        return tl::unexpected(StoreError::Unavailable);
    }
    StoreResult<void> remove(const std::string &, std::uint64_t) override
    {
        return tl::unexpected(StoreError::Unavailable);
    }
    StoreResult<std::vector<ListedObject>> list(const std::string &) override
    {
        return tl::unexpected(StoreError::Unavailable);
    }
    void interrupt() override
    {
    }

private:
    bool ended_ = false;
};

ChangeBatch changeAt(std::uint64_t revision)
{
    return {{{"servers/a", {"v", revision}, false, revision}}, revision};
}

/** Callbacks of a watcher. */
struct Observed {
    int listed = 0;
    int changed = 0;
    int rechecked = 0;
    std::vector<bool> availability;
};

/** Runs a watcher until the script of @p store has ended. */
Observed observe(ScriptedStore &store, StoreRevision recheckedUpTo = {})
{
    asio::io_context context;
    Observed observed;
    StoreWatcher watcher(
        context.get_executor(), store, {"servers", kWatchTimeout, Millis{0}, ReadMode::Latest, kRecheckedKind},
        {[&](const ObjectListing &) { ++observed.listed; }, [&](const ChangeBatch &) { ++observed.changed; },
         [&](bool available) { observed.availability.push_back(available); },
         [&](const ObjectListing &) { ++observed.rechecked; }, [&] { return recheckedUpTo; }});
    watcher.start();
    store.finished.get_future().wait();
    watcher.stop();
    context.run();
    return observed;
}

} // namespace

TEST_CASE("StoreWatcher: after a failure the next watch does not wait for a change")
{
    // Guards against noticing the recovery of the store, and adopting configurations, only after a full watch timeout.
    ScriptedStore store;
    store.watches = {changeAt(11), tl::unexpected(StoreError::Unavailable), tl::unexpected(StoreError::Unavailable),
                     changeAt(12), changeAt(13)};
    const Observed observed = observe(store);
    REQUIRE(store.waits.size() == 5);
    CHECK(store.waits[0] == kWatchTimeout);
    CHECK(store.waits[1] == kWatchTimeout);
    CHECK(store.waits[2] == Millis{0});
    CHECK(store.waits[3] == Millis{0});
    CHECK(store.waits[4] == kWatchTimeout);
    CHECK(observed.changed == 3);
    REQUIRE(observed.availability.size() >= 2);
    CHECK_FALSE(observed.availability[0]);
    CHECK(observed.availability[1]);
}

TEST_CASE("StoreWatcher: a lost history causes a new listing and is not reported as an outage")
{
    // Guards against changes that are missed between the lost history and the next watch.
    ScriptedStore store;
    store.watches = {tl::unexpected(StoreError::HistoryLost), changeAt(21)};
    const Observed observed = observe(store);
    CHECK(store.listings == 2);
    CHECK(observed.listed == 2);
    CHECK(observed.changed == 1);
}

TEST_CASE("StoreWatcher: a kind that another watcher waits for is listed again after an outage and unseen changes")
{
    // Guards against a configuration that is adopted late because the long call that waits for it was lost.
    const ChangeBatch nothing{{}, 10};
    SUBCASE("nothing happened")
    {
        ScriptedStore store;
        store.watches = {nothing, changeAt(11), ChangeBatch{{}, 11}};
        CHECK(observe(store).rechecked == 0);
    }
    SUBCASE("changes of another kind")
    {
        ScriptedStore store;
        store.watches = {ChangeBatch{{}, 11}, changeAt(12), changeAt(14)};
        CHECK(observe(store).rechecked == 2);
    }
    SUBCASE("an outage")
    {
        ScriptedStore store;
        store.watches = {nothing, tl::unexpected(StoreError::Unavailable), tl::unexpected(StoreError::Unavailable),
                         nothing, nothing};
        CHECK(observe(store).rechecked == 1);
        CHECK(store.rechecks == 1);
    }
}

TEST_CASE("StoreWatcher: what another watcher has received is not listed again")
{
    // Guards against a call of each daemon to the store for each change of the configuration, which it knows already.
    ScriptedStore store;
    SUBCASE("changes of another kind that it has received")
    {
        store.watches = {ChangeBatch{{}, 11}, changeAt(12), changeAt(14)};
        CHECK(observe(store, {0, 14}).rechecked == 0);
    }
    SUBCASE("a change that it has not received")
    {
        store.watches = {ChangeBatch{{}, 11}, changeAt(12), changeAt(14)};
        CHECK(observe(store, {0, 13}).rechecked == 1);
    }
    SUBCASE("an outage, in which its call may have been lost")
    {
        const ChangeBatch nothing{{}, 10};
        store.watches = {nothing, tl::unexpected(StoreError::Unavailable), nothing, nothing};
        CHECK(observe(store, {0, 10}).rechecked == 1);
    }
    SUBCASE("a store that came back from an older copy")
    {
        store.listingEras = {1, 2};
        ChangeBatch returned = changeAt(25);
        returned.era = 2;
        store.watches = {returned, ChangeBatch{{}, 20, 2}};
        CHECK(observe(store, {1, 30}).rechecked == 1);
    }
}

TEST_CASE("StoreWatcher: a response of a later era leads to a new listing, and one of an earlier era to nothing")
{
    // Guards against a watch that goes on from a position of a lost history, which the present one has overtaken.
    ScriptedStore store;
    store.listingEras = {1, 1, 2};
    ChangeBatch returned = changeAt(25);
    returned.era = 2;
    ChangeBatch late = changeAt(26);
    late.era = 1;
    ChangeBatch unnamed = changeAt(31);
    store.watches = {returned, late, unnamed};
    const Observed observed = observe(store);
    // The first listing, one that is late itself, and the one of the later era.
    CHECK(store.listings == 3);
    CHECK(observed.listed == 2);
    CHECK(observed.changed == 1);
}
