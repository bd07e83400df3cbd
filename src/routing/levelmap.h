#ifndef HIBISCUS_ROUTING_LEVELMAP_H
#define HIBISCUS_ROUTING_LEVELMAP_H

#include "admission/level.h"
#include "core/clock.h"

#include <cstddef>
#include <unordered_map>

namespace Hibiscus
{

/** A reported level is out of date after this time; an unreachable server must not be shed on old news. */
inline constexpr Millis kLevelLifetime{2000};

/**
 * The sender's record of the level that each @p Key last reported; calls below it are shed before they are sent.
 * Instantiated for ServerName and for ServiceName (the subtree of calls below a service).
 */
template<class Key>
class LevelMap
{
public:
    /** @p clock must outlive the map. */
    explicit LevelMap(const Clock &clock);

    /** The latest report replaces the one before, also if it is lower. */
    void report(const Key &key, Level level);

    /** Level that @p key last reported; 0 if it reported none within kLevelLifetime. */
    Level levelFor(const Key &key) const;

    /** Whether a call of level @p request would be admitted as far as is known. */
    bool admits(const Key &key, Level request) const;

    /** Forgets @p key, for a server that left or was restarted. */
    void remove(const Key &key);

    /** Removes out-of-date entries. Needed only to free memory. */
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
