#ifndef HIBISCUS_PLATFORM_MEMORYOBJECTSTORE_H
#define HIBISCUS_PLATFORM_MEMORYOBJECTSTORE_H

#include "platform/objectstore.h"
#include "platform/storefaults.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace Hibiscus
{

/**
 * Object store in the memory of the process, with faults that can be set at any time.
 *
 * Simulated delays and the waiting time of a watch elapse in real time.
 */
class MemoryObjectStore : public ObjectStore
{
public:
    /** A call that is delayed longer than @p callTimeout fails: a read with Unavailable, a write with Ambiguous, though
     * the write still takes effect. */
    explicit MemoryObjectStore(Millis callTimeout = {2000});

    void setFaults(const StoreFaults &faults);
    StoreFaults faults() const;

    StoreResult<StoredObject> get(const std::string &key) override;
    StoreResult<std::uint64_t> create(const std::string &key, const std::string &value) override;
    StoreResult<std::uint64_t> update(const std::string &key, const std::string &value,
                                      std::uint64_t expectedVersion) override;
    StoreResult<std::vector<ListedObject>> list(const std::string &prefix) override;
    StoreResult<ObjectListing> listKind(const std::string &kind, ReadMode mode) override;
    StoreResult<ChangeBatch> watchKind(const std::string &kind, std::uint64_t revision, Millis timeout,
                                       ReadMode mode) override;
    StoreResult<void> remove(const std::string &key, std::uint64_t expectedVersion) override;
    /** Discards the change history, as a store with a short history does. */
    void dropHistory();
    /** Keeps a copy of the present state, for returnToCopy(). */
    void saveCopy();
    /** Goes back to the copy, as a store that lost what it acknowledged since, and begins another era. */
    void returnToCopy();
    void interrupt() override;

private:
    /** What a copy of the store contains. */
    struct State {
        std::map<std::string, StoredObject> objects;
        /** Last versions of removed keys; the version of a new object with the key is one higher. */
        std::map<std::string, std::uint64_t> removedVersions;
        std::deque<ObjectChange> history; ///< All changes after historyStart.
        std::uint64_t historyStart = 0;
        std::uint64_t revision = 0;
    };

    using Lock = std::unique_lock<std::mutex>;

    template<class T, class Action>
    StoreResult<T> read(Action action);
    template<class T, class Action>
    StoreResult<T> write(Action action);
    /** Waits for the simulated delay, at most the call timeout; false if the call timed out. */
    bool simulateDelay(Lock &lock);
    bool isReachable() const;
    /** What a read sees. */
    const State &stateFor(ReadMode mode) const;
    /** Whether the store no longer has, or never had, the changes after @p revision. */
    bool isHistoryLost(const State &state, std::uint64_t revision) const;
    StoreResult<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedVersion);
    void recordChange(const std::string &key, const StoredObject &object, bool removed);
    ChangeBatch changesOf(const State &state, const std::string &kind, std::uint64_t revision) const;

    Millis callTimeout_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    StoreFaults faults_;
    bool interrupted_ = false;
    State state_;
    State copy_; ///< For returnToCopy().
    State stale_; ///< What stale reads see while they are delayed.
    std::uint64_t era_ = 1;
};

} // namespace Hibiscus

#endif
