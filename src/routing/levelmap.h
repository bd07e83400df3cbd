#ifndef HIBISCUS_ROUTING_LEVELMAP_H
#define HIBISCUS_ROUTING_LEVELMAP_H

#include "admission/level.h"
#include "core/clock.h"

#include <cstddef>
#include <unordered_map>

namespace Hibiscus
{

/** A reported level expires after this time, so that no calls to an unreachable server are shed by a stale level. */
inline constexpr Millis kLevelLifetime{2000};

/**
 * The last level that was reported to this daemon for each @p Key. Calls below the level are shed before they are sent.
 * Instantiated for ServerName and for ServiceName.
 */
template<class Key>
class LevelMap
{
public:
    /** @p clock must outlive the map. */
    explicit LevelMap(const Clock &clock);

    /** Records a report. It replaces the previous one, even if its level is lower. */
    void report(const Key &key, Level level);

    /** Level that @p key last reported; 0 if it reported none within kLevelLifetime. */
    Level levelFor(const Key &key) const;

    /** Whether a call of level @p request would be admitted according to the current report, if there is one. */
    bool admits(const Key &key, Level request) const;

    /** Removes the report of @p key, for a server that was removed or restarted. */
    void remove(const Key &key);

    /** Removes expired entries. Needed only to free memory. */
    void prune();

    std::size_t size() const;

private:
    struct Entry {
        Level level;
        TimePoint reported;
    };

    bool isCurrent(const Entry &entry) const;

    const Clock &clock_;
    std::unordered_map<Key, Entry> entries_;
};

} // namespace Hibiscus

#endif
