#ifndef HIBISCUS_CORE_STOREREVISION_H
#define HIBISCUS_CORE_STOREREVISION_H

#include <compare>
#include <cstdint>

namespace Hibiscus
{

/**
 * Revision of the store within one of its histories. A store that came back from an older copy of itself begins another
 * era, in which it gives out revisions again that it had given out before. A revision of a later era is later.
 */
struct StoreRevision {
    std::uint64_t era = 0; ///< 0 if the store names none.
    std::uint64_t number = 0; ///< 0 if the store has not given one out.

    friend constexpr auto operator<=>(StoreRevision, StoreRevision) = default;
};

/** Where a revision stands in relation to another one. */
enum class StoreHistory {
    Same, ///< Both are of one era, so their numbers can be compared.
    Later, ///< It is of a later era: what it names is older, if it comes from the copy, or newer.
    Earlier, ///< It is of an earlier era.
};

constexpr StoreHistory historyOf(StoreRevision revision, StoreRevision other)
{
    if (revision.era == other.era) {
        return StoreHistory::Same;
    }
    return revision.era > other.era ? StoreHistory::Later : StoreHistory::Earlier;
}

} // namespace Hibiscus

#endif
