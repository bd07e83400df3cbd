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
/** A class with a longer mean wait in a window counts as delayed. */
inline constexpr Millis kQueueingDelayThreshold{20};

/** Queueing and concurrency of one class in a measurement window. */
struct ClassLoad {
    double waitSum = 0; ///< In ms; of tickets that were started, or refused for their deadline or queue time.
    int waits = 0; ///< Number of these tickets.
    double meanInFlight = 0;
    bool dropped = false; ///< Tickets were refused because the queue was full or the wait too long.

    bool isDelayed() const
    {
        return dropped || waitSum > kQueueingDelayThreshold.value * waits;
    }
};

/** Load of the server in a measurement window. */
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
 * Load below the level may be shed upstream, so that it never arrives here. The load of a partly admitted class is
 * extrapolated from its admitted buckets as if it were spread evenly. Where teams compete, the upper buckets hold more
 * (see fairBucket()): the load of the others is then overestimated, and the level takes a few windows more to settle.
 * The last estimate for a class that is refused as a whole decays over about a second.
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
    struct OfferedLoad {
        int admitted = 0; ///< In the open window, at or above the level.
        int refused = 0; ///< In the open window, below the level.
        double perBucket = 0; ///< Smoothed estimate per kAdmissionWindow, the same for all buckets of the class.
    };

    int highestLevel() const;
    double admittedShare(int classRank) const;
    void updateOfferedLoad(double windows);
    double offeredPerBucket(int level) const;
    double expectedAdmitted() const;
    int maxAllowedLevel(const WindowLoad &load) const;
    void raise(const WindowLoad &load);
    void lower(const WindowLoad &load);

    std::vector<OfferedLoad> offered_;
    double completed_ = 0; ///< Smoothed number of completed requests per kAdmissionWindow.
    int highestClassDelayedWindows_ = 0; ///< Consecutive windows in which the highest class was delayed.
    int level_ = 0;
};

} // namespace Hibiscus

#endif
