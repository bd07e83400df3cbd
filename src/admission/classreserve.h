#ifndef HIBISCUS_ADMISSION_CLASSRESERVE_H
#define HIBISCUS_ADMISSION_CLASSRESERVE_H

#include "core/millis.h"

#include <deque>
#include <vector>

namespace Hibiscus
{

/**
 * Slots that lower classes leave to higher ones. Classes up to c together may hold at most limit minus the reserve of
 * c. The reserve is the mean recent concurrency of the higher classes while slots are released quickly, and rises to
 * their recent peak as the classes up to c come to hold slots for twice their own service time, as they do while they
 * wait for a slow deep service. A reserve of the peak at all times would leave more than 5% of the slots idle.
 */
class ClassReserve
{
public:
    explicit ClassReserve(int classCount);

    /** Adds classes; the number never falls. */
    void setClassCount(int classCount);

    /** Whether one more request of @p classRank may start at @p limit. */
    bool canStart(int classRank, int limit) const;

    void started(int classRank, TimePoint now);
    /** @p total and @p ownTime are those of the request that ended. */
    void finished(int classRank, TimePoint start, TimePoint now, Millis total, Millis ownTime);

    /** Closes a measurement window. */
    void closeWindow(TimePoint now);

    /** Slots that the classes up to @p classRank leave free of themselves; 0 for the highest class. */
    int reserve(int classRank) const;

    int inFlight(int classRank) const;
    int totalInFlight() const;

private:
    /** The classes from 0 up to one rank together, and those above it. */
    struct Cut {
        int lowerInFlight = 0;
        double lowerStartSum = 0; ///< Sum of the start times of the lower ones in flight.
        double lowerHold = 0; ///< Mean time for which a slot is held, in ms.
        double lowerOwn = 0; ///< Mean own service time, in ms.
        int higherInFlight = 0;
        double higherArea = 0; ///< Integral of higherInFlight over the open window.
        double higherMean = 0;
        int windowPeak = 0;
        std::deque<int> peaks; ///< Of the closed windows within kPeakWindows.
        int reserve = 0;
    };

    void integrate(TimePoint now);
    void updateReserve(Cut &cut, TimePoint now);

    std::vector<Cut> cuts_;
    std::vector<int> inFlight_;
    TimePoint windowStart_;
    TimePoint integratedTo_;
};

} // namespace Hibiscus

#endif
