#include "platform/memoryobjectstore.h"

#include "core/chronotime.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr std::size_t kHistoryLength = 4096;

std::string prefixOf(const std::string &kind)
{
    return kind + "/";
}

} // namespace

MemoryObjectStore::MemoryObjectStore(Millis callTimeout)
    : callTimeout_(callTimeout)
{
}

void MemoryObjectStore::setFaults(const StoreFaults &faults)
{
    const Lock lock(mutex_);
    if (faults.delaysStaleReads && !faults_.delaysStaleReads) {
        stale_ = state_;
    }
    faults_ = faults;
    changed_.notify_all();
}

StoreFaults MemoryObjectStore::faults() const
{
    const Lock lock(mutex_);
    return faults_;
}

StoreResult<StoredObject> MemoryObjectStore::get(const std::string &key)
{
    return read<StoredObject>([&]() -> StoreResult<StoredObject> {
        const auto found = state_.objects.find(key);
        if (found == state_.objects.end()) {
            return tl::unexpected(StoreError::NotFound);
        }
        return found->second;
    });
}

StoreResult<std::uint64_t> MemoryObjectStore::create(const std::string &key, const std::string &value)
{
    return write<std::uint64_t>([&] { return put(key, value, 0); });
}

StoreResult<std::uint64_t> MemoryObjectStore::update(const std::string &key, const std::string &value,
                                                     std::uint64_t expectedVersion)
{
    return write<std::uint64_t>([&]() -> StoreResult<std::uint64_t> {
        if (!state_.objects.contains(key)) {
            return tl::unexpected(StoreError::NotFound);
        }
        return put(key, value, expectedVersion);
    });
}

StoreResult<std::vector<ListedObject>> MemoryObjectStore::list(const std::string &prefix)
{
    return read<std::vector<ListedObject>>([&]() -> StoreResult<std::vector<ListedObject>> {
        std::vector<ListedObject> listed;
        for (auto entry = state_.objects.lower_bound(prefix);
             entry != state_.objects.end() && entry->first.starts_with(prefix); ++entry) {
            listed.push_back({entry->first, entry->second.version});
        }
        return listed;
    });
}

StoreResult<ObjectListing> MemoryObjectStore::listKind(const std::string &kind, ReadMode mode)
{
    return read<ObjectListing>([&]() -> StoreResult<ObjectListing> {
        const std::string prefix = prefixOf(kind);
        const State &state = stateFor(mode);
        ObjectListing listing{{}, state.revision, era_};
        for (auto entry = state.objects.lower_bound(prefix);
             entry != state.objects.end() && entry->first.starts_with(prefix); ++entry) {
            listing.objects.push_back({entry->first, entry->second});
        }
        return listing;
    });
}

StoreResult<ChangeBatch> MemoryObjectStore::watchKind(const std::string &kind, std::uint64_t revision, Millis timeout,
                                                      ReadMode mode)
{
    Lock lock(mutex_);
    if (!simulateDelay(lock)) {
        return tl::unexpected(StoreError::Unavailable);
    }
    changed_.wait_for(lock, toChrono(timeout), [&] {
        const State &state = stateFor(mode);
        return !isReachable() || isHistoryLost(state, revision) || !changesOf(state, kind, revision).changes.empty();
    });
    if (!isReachable()) {
        return tl::unexpected(StoreError::Unavailable);
    }
    const State &state = stateFor(mode);
    if (isHistoryLost(state, revision)) {
        return tl::unexpected(StoreError::HistoryLost);
    }
    return changesOf(state, kind, revision);
}

StoreResult<void> MemoryObjectStore::remove(const std::string &key, std::uint64_t expectedVersion)
{
    return write<void>([&]() -> StoreResult<void> {
        const auto found = state_.objects.find(key);
        if (found == state_.objects.end()) {
            return tl::unexpected(StoreError::NotFound);
        }
        if (found->second.version != expectedVersion) {
            return tl::unexpected(StoreError::Conflict);
        }
        state_.removedVersions[key] = expectedVersion;
        recordChange(key, found->second, true);
        state_.objects.erase(found);
        return {};
    });
}

void MemoryObjectStore::dropHistory()
{
    const Lock lock(mutex_);
    state_.history.clear();
    state_.historyStart = state_.revision;
    changed_.notify_all();
}

void MemoryObjectStore::saveCopy()
{
    const Lock lock(mutex_);
    copy_ = state_;
}

void MemoryObjectStore::returnToCopy()
{
    const Lock lock(mutex_);
    state_ = copy_;
    ++era_;
    changed_.notify_all();
}

const MemoryObjectStore::State &MemoryObjectStore::stateFor(ReadMode mode) const
{
    return mode == ReadMode::MayBeStale && faults_.delaysStaleReads ? stale_ : state_;
}

bool MemoryObjectStore::isHistoryLost(const State &state, std::uint64_t revision) const
{
    // A stale read may come from before the revision.
    return revision < state.historyStart || revision > state_.revision;
}

void MemoryObjectStore::recordChange(const std::string &key, const StoredObject &object, bool removed)
{
    ++state_.revision;
    state_.history.push_back({key, object, removed, state_.revision});
    if (state_.history.size() > kHistoryLength) {
        state_.historyStart = state_.history.front().revision;
        state_.history.pop_front();
    }
    changed_.notify_all();
}

ChangeBatch MemoryObjectStore::changesOf(const State &state, const std::string &kind, std::uint64_t revision) const
{
    ChangeBatch batch{{}, state.revision, era_};
    const std::string prefix = prefixOf(kind);
    for (const ObjectChange &change : state.history) {
        if (change.revision > revision && change.key.starts_with(prefix)) {
            batch.changes.push_back(change);
        }
    }
    return batch;
}

void MemoryObjectStore::interrupt()
{
    const Lock lock(mutex_);
    interrupted_ = true;
    changed_.notify_all();
}

template<class T, class Action>
StoreResult<T> MemoryObjectStore::read(Action action)
{
    Lock lock(mutex_);
    if (!simulateDelay(lock) || !isReachable()) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return action();
}

template<class T, class Action>
StoreResult<T> MemoryObjectStore::write(Action action)
{
    Lock lock(mutex_);
    const bool inTime = simulateDelay(lock);
    if (!isReachable()) {
        return tl::unexpected(StoreError::Unavailable);
    }
    StoreResult<T> result = action();
    const bool lost = result.has_value() && faults_.responsesToDrop > 0;
    if (lost) {
        --faults_.responsesToDrop;
    }
    if (lost || !inTime) {
        return tl::unexpected(StoreError::Ambiguous);
    }
    return result;
}

bool MemoryObjectStore::simulateDelay(Lock &lock)
{
    const bool inTime = faults_.delay <= callTimeout_;
    const Millis wait = inTime ? faults_.delay : callTimeout_;
    changed_.wait_for(lock, toChrono(wait), [this] { return interrupted_; });
    return inTime;
}

bool MemoryObjectStore::isReachable() const
{
    return !faults_.down && !interrupted_;
}

StoreResult<std::uint64_t> MemoryObjectStore::put(const std::string &key, const std::string &value,
                                                  std::uint64_t expectedVersion)
{
    if (value.size() > kMaximumValueBytes) {
        return tl::unexpected(StoreError::TooLarge);
    }
    const auto found = state_.objects.find(key);
    const std::uint64_t version = found == state_.objects.end() ? 0 : found->second.version;
    if (version != expectedVersion) {
        return tl::unexpected(StoreError::Conflict);
    }
    const auto removed = state_.removedVersions.find(key);
    const std::uint64_t next =
        (removed == state_.removedVersions.end() ? version : std::max(version, removed->second)) + 1;
    state_.objects[key] = {value, next};
    recordChange(key, state_.objects[key], false);
    return next;
}

} // namespace Hibiscus
