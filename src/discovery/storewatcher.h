#ifndef HIBISCUS_DISCOVERY_STOREWATCHER_H
#define HIBISCUS_DISCOVERY_STOREWATCHER_H

#include "core/storerevision.h"
#include "platform/objectstore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <asio/any_io_executor.hpp>

namespace Hibiscus
{

/** Settings of a StoreWatcher. */
struct StoreWatcherSettings {
    std::string kind;
    /** Longest time that one call waits for a change, and so until it is noticed that the store stopped responding. */
    Millis watchTimeout;
    /** Changes that follow one another within this time are delivered in one batch, which costs less. */
    Millis batchInterval;
    ReadMode mode = ReadMode::Latest; ///< Of all reads but the first listing, which is always up to date.
    /**
     * Kind that another watcher waits for in longer calls; empty for none. It is listed once more when such a call may
     * have been lost: after an outage, and after changes of the store that this watcher doesn't see.
     */
    std::string recheckedKind{};
};

/**
 * Watches all objects of one kind in the store, on a thread of its own since calls to the store block.
 *
 * A listing is followed by all later changes without a gap. When the store's history doesn't reach back far enough, or
 * when the store came back from an older copy of itself, a new listing replaces the state. Responses from before such a
 * return that arrive later are dropped. Callbacks run on the executor.
 */
class StoreWatcher
{
public:
    struct Callbacks {
        std::function<void(const ObjectListing &)> listingReceived;
        std::function<void(const ChangeBatch &)> changesReceived;
        std::function<void(bool available)> availabilityChanged;
        /** Listing of the rechecked kind; not called without one. */
        std::function<void(const ObjectListing &)> recheckReceived{};
        /** Revision up to which the other watcher has received the rechecked kind; may be empty. Called on the thread
         * of this watcher. */
        std::function<StoreRevision()> recheckedUpTo{};
    };

    StoreWatcher(asio::any_io_executor executor, ObjectStore &store, StoreWatcherSettings settings,
                 Callbacks callbacks);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void start();
    /** Joins the thread. The store must be interrupted first. */
    void stop();

    /** Revision of the store up to which all changes of the kind were received. Callable from any thread. */
    StoreRevision position() const;

private:
    void run();
    bool list();
    bool watch();
    /** Whether a response of the era @p era comes from before the last return of the store to a copy. */
    bool isOutdated(std::uint64_t era) const;
    void setAvailable(bool available);
    void recheckIfNeeded();
    /** Whether the other watcher has received all that led to the recheck. */
    bool isRecheckCovered() const;
    void setPosition(std::uint64_t revision);
    /** Returns early with false if the watcher is stopping. */
    bool sleepFor(Millis duration);
    bool isStopping();

    asio::any_io_executor executor_;
    ObjectStore &store_;
    StoreWatcherSettings settings_;
    Callbacks callbacks_;
    std::thread thread_;
    mutable std::mutex mutex_;
    std::condition_variable wakeUp_;
    bool stopping_ = false;
    bool available_ = true;
    bool hasListing_ = false;
    ReadMode listingMode_ = ReadMode::Latest; ///< Of the next listing.
    bool needsRecheck_ = false;
    bool hadFailure_ = false; ///< A call failed since the last recheck, so the other watcher's call may be lost.
    std::uint64_t revision_ = 0;
    std::uint64_t era_ = 0; ///< Of the listing; 0 if the store names none.
    StoreRevision position_; ///< The two above, for other threads.
};

} // namespace Hibiscus

#endif
