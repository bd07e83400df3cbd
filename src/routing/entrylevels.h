#ifndef HIBISCUS_ROUTING_ENTRYLEVELS_H
#define HIBISCUS_ROUTING_ENTRYLEVELS_H

#include "admission/level.h"
#include "core/clock.h"
#include "core/ids.h"

#include <unordered_map>

namespace Hibiscus
{

/**
 * The lowest levels that the services below a request admit, as known where requests begin, so that a request that
 * can't be finished at the bottom is refused before any work is done for it.
 *
 * Answers an overload of a service that many daemons send to and learn of at once. A report comes from one of several
 * servers, so reports are smoothed instead of each replacing the one before. Where nearly everything is refused, no
 * more reports come. Then the level falls bucket by bucket, so that a few requests go on and bring a new report, and
 * not the requests of all daemons at the same moment.
 */
class EntryLevels
{
public:
    /** @p clock must outlive the levels. */
    explicit EntryLevels(const Clock &clock);

    /** Records the level that the calls below a request met; @p key names what such requests have in common. */
    void report(const ServiceName &key, Level level);

    /** Lowest level that is admitted now among the requests of @p classRank; at most that of the next class. */
    Level levelFor(const ServiceName &key, int classRank) const;

    bool admits(const ServiceName &key, Level request) const;

private:
    struct Entry {
        double level = 0; ///< Smoothed.
        TimePoint reported;
    };

    const Clock &clock_;
    std::unordered_map<ServiceName, Entry> entries_;
};

} // namespace Hibiscus

#endif
