#ifndef HIBISCUS_ADMISSION_CLASSRESERVE_H
#define HIBISCUS_ADMISSION_CLASSRESERVE_H

#include "core/millis.h"

#include <cstddef>
#include <vector>

namespace Hibiscus
{

/**
 * Slots that lower classes leave free for higher ones. Classes up to c together may hold at most the limit minus the
 * reserve of c. While slots are released quickly, the reserve is a little below the mean concurrency of the higher
 * classes, since a queued request of a higher class then gets the next slot soon. It rises to their recent peak as the
 * time for which the classes up to c hold a slot grows from 1.5 to 2.5 times their own service time, which happens
 * while they wait for a slow deep service. It rises to the peak at once if none of their requests completes any more.
 */
class ClassReserve
{
public:
    ClassReserve(int classCount, TimePoint now);

    /** Adds classes; the number never falls. */
    void setClassCount(int classCount);

    /** Whether one more request of @p classRank may start at @p limit. */
    bool canStart(int classRank, int limit, TimePoint now) const;

    void started(int classRank, TimePoint now);
    /** A request that was started at @p start ended; @p ownTime is its own service time. */
    void finished(int classRank, TimePoint start, TimePoint now, Millis ownTime);

    /** Closes a measurement window. */
    void closeWindow(TimePoint now);

    /** Slots that the classes up to @p classRank must leave free; 0 for the highest class. */
    int reserve(int classRank, TimePoint now) const;

    int inFlight(int classRank) const;
    int totalInFlight() const;

    /** Mean number in flight during the last closed window. */
    double meanInFlight(int classRank) const;

private:
    struct ClassState {
        int inFlight = 0;
        double area = 0; ///< Integral of inFlight over the open window, in ms.
        double mean = 0; ///< Mean of inFlight in the last closed window.
    };

    /** State of the classes from 0 up to one rank together (lower) and of those above it (higher). */
    struct ClassSplit {
        int lowerInFlight = 0;
        double lowerStartSum = 0; ///< Sum of the start times of the lower ones in flight, in ms.
        /** Completions of lower requests that were due but did not happen, less those that happened early. */
        double overdueCompletions = 0;
        int lowerSamples = 0; ///< Completions in the two values below, up to the number that they are smoothed over.
        double lowerHoldTime = 0; ///< Smoothed time for which a lower request holds a slot, in ms.
        double lowerOwnTime = 0; ///< Smoothed own service time of lower requests, in ms.
        int higherInFlight = 0;
        double higherMean = 0; ///< Mean of higherInFlight, smoothed over the windows.
        int peak = 0; ///< Peak of higherInFlight in this period.
        int previousPeak = 0; ///< Peak of higherInFlight in the period before.
        int reserve = 0;
    };

    void integrate(TimePoint now);
    static int higherPeak(const ClassSplit &split);
    double overdueCompletions(const ClassSplit &split, TimePoint now) const;
    static void recordHold(ClassSplit &split, Millis hold, Millis ownTime);
    static double stallFactor(const ClassSplit &split, TimePoint now);
    void updateReserve(std::size_t index, TimePoint now);

    std::vector<ClassSplit> splits_;
    std::vector<ClassState> classes_;
    TimePoint windowStart_;
    TimePoint integratedTo_;
    TimePoint periodStart_;
};

} // namespace Hibiscus

#endif
