#ifndef HIBISCUS_PLATFORM_OBJECTSTORE_H
#define HIBISCUS_PLATFORM_OBJECTSTORE_H

#include "core/millis.h"
#include "platform/storeerror.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Limit of the platform's object API on the size of a value. */
constexpr std::size_t kMaximumValueBytes = 1U << 20U;

/** Value with its version. Versions of a key increase with each write; 0 means that the object doesn't exist. */
struct StoredObject {
    std::string value;
    std::uint64_t version = 0;
};

struct ListedObject {
    std::string key;
    std::uint64_t version = 0;
};

/** How recent a read must be. */
enum class ReadMode {
    Latest,
    MayBeStale, ///< May lag by seconds, but costs the platform less.
};

/** Object of a kind; the key is "<kind>/<name>". */
struct KeyedObject {
    std::string key;
    StoredObject object;
};

/** All objects of a kind. */
struct ObjectListing {
    std::vector<KeyedObject> objects;
    std::uint64_t revision = 0; ///< Revision of the store; a watch from it misses no change.
    std::uint64_t era = 0; ///< Of the store; 0 if it names none.
};

/** Change of one object. */
struct ObjectChange {
    std::string key;
    StoredObject object; ///< Object after the write, or before the removal.
    bool removed = false;
    std::uint64_t revision = 0; ///< Revision of the store at this change.
};

/** Changes to objects of a kind, in the order in which the store applied them. */
struct ChangeBatch {
    std::vector<ObjectChange> changes;
    std::uint64_t revision = 0; ///< Revision of the store from which the next watch continues.
    std::uint64_t era = 0; ///< Of the store; 0 if it names none.
};

/**
 * The platform's object API. Calls block until a response or a timeout of the implementation and may be made from
 * several threads. Reads without a response fail with Unavailable, never with Ambiguous.
 */
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /** Errors: NotFound, Unavailable. */
    virtual StoreResult<StoredObject> get(const std::string &key) = 0;

    /** Writes a new object and returns its version. Errors: Conflict if it exists, TooLarge, Unavailable, Ambiguous. */
    virtual StoreResult<std::uint64_t> create(const std::string &key, const std::string &value) = 0;

    /** Replaces the value of version @p expectedVersion and returns the new version, which is one higher. Errors:
     * NotFound, Conflict if the version differs, TooLarge, Unavailable, Ambiguous. */
    virtual StoreResult<std::uint64_t> update(const std::string &key, const std::string &value,
                                              std::uint64_t expectedVersion) = 0;

    /** Keys that begin with @p prefix, in order, with their versions. Errors: Unavailable. */
    virtual StoreResult<std::vector<ListedObject>> list(const std::string &prefix) = 0;

    /** All objects of @p kind. Errors: Unavailable. */
    virtual StoreResult<ObjectListing> listKind(const std::string &kind, ReadMode mode) = 0;

    /** Returns the changes of @p kind after @p revision; waits for one at most @p timeout and then returns none.
     * Errors: HistoryLost if the store no longer has all of them, Unavailable. */
    virtual StoreResult<ChangeBatch> watchKind(const std::string &kind, std::uint64_t revision, Millis timeout,
                                               ReadMode mode) = 0;

    /** Removes the object of version @p expectedVersion. Errors: NotFound, Conflict, Unavailable, Ambiguous. */
    virtual StoreResult<void> remove(const std::string &key, std::uint64_t expectedVersion) = 0;

    /** Aborts pending calls and fails later ones, as if their response was lost; for the shutdown of the process.
     * Callable from any thread. */
    virtual void interrupt() = 0;
};

} // namespace Hibiscus

#endif
