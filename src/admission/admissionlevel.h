#ifndef HIBISCUS_ADMISSION_ADMISSIONLEVEL_H
#define HIBISCUS_ADMISSION_ADMISSIONLEVEL_H

#include "admission/level.h"
#include "core/millis.h"

#include <cstddef>
#include <vector>

namespace Hibiscus
{

/** Length of a measurement window. */
inline constexpr Millis kAdmissionWindow{100};
/** A class whose mean wait in a window is longer counts as delayed. */
inline constexpr Millis kQueueingDelay{20};

/** What one class did in a measurement window. */
struct ClassLoad {
    double waitSum = 0; ///< In ms, over the tickets that were started or dropped.
    int waits = 0;
    double meanInFlight = 0;
    bool dropped = false; ///< Tickets were refused because the queue was full or the wait too long.

    bool isDelayed() const
    {
        return dropped || waitSum > kQueueingDelay.value * waits;
    }
};

/** What the server did in a measurement window. */
struct WindowLoad {
    Millis length;
    int completed = 0; ///< Requests that released a slot, without those that the server shed.
    std::size_t queued = 0; ///< At the end of the window.
    int limit = 1;
    std::vector<ClassLoad> classes;
};

/**
 * The lowest level that is admitted. A window with queueing delay raises it so that the expected admitted load matches
 * what completed; a window without delay lowers it in proportion to the free capacity.
 *
 * The load below the level may be shed upstream and so be invisible here. Buckets are hashes, hence the load of a
 * partly admitted class is extrapolated from its admitted buckets, and that of a refused class is remembered for about
 * a second.
 */
class AdmissionLevel
{
public:
    explicit AdmissionLevel(int classCount);

    /** Adds classes; the number never falls. */
    void setClassCount(int classCount);

    Level value() const;

    bool admits(Level request) const;

    /** Counts an arrival, whether or not it is admitted. */
    void recordArrival(Level request);

    /** Closes a measurement window and adjusts the level. */
    void closeWindow(const WindowLoad &load);

private:
    /** Arrivals of one class. */
    struct Offered {
        int admitted = 0; ///< In the open window, at or above the level.
        int refused = 0; ///< In the open window, below the level.
        double perBucket = 0; ///< Smoothed estimate for a window of kAdmissionWindow, all buckets of the class alike.
    };

    int highestLevel() const;
    double admittedShare(int classRank) const;
    void learnOffered(double windows);
    double perBucketAt(int level) const;
    double expectedAdmitted() const;
    int highestAllowed(const WindowLoad &load) const;
    void raise(const WindowLoad &load);
    void lower(const WindowLoad &load);

    std::vector<Offered> offered_;
    double completed_ = 0; ///< Smoothed, per kAdmissionWindow.
    int highestDelayed_ = 0; ///< Consecutive windows in which the highest class was delayed.
    int level_ = 0;
};

} // namespace Hibiscus

#endif
