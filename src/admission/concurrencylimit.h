#ifndef HIBISCUS_ADMISSION_CONCURRENCYLIMIT_H
#define HIBISCUS_ADMISSION_CONCURRENCYLIMIT_H

#include "admission/ticket.h"
#include "core/millis.h"

#include <optional>

namespace Hibiscus
{

/**
 * Number of requests that the backend server may run at a time, derived from their own service time. Time spent waiting
 * for child calls is left out, so that a slow deep service does not lower the limit. Load figures that the server
 * reports are not used.
 *
 * A back-off for a long service time is a trial: if the throughput falls with the limit, then the server was not
 * overloaded (the mix of requests changed, or the server is slower at any load), and the limit is restored.
 */
class ConcurrencyLimit
{
public:
    ConcurrencyLimit(int slots, TimePoint now);

    /** Requests that may run at a time, from 1 to the number of slots. */
    int value() const;

    void setSlots(int slots);

    /** Time for which a server is expected to be slow after its start, unless it says how long it will be. */
    static constexpr Millis kDefaultColdStart{10000};

    /** The server has started and is expected to be slow for @p length. Measured service times are discarded, and those
     * of this time are not taken as usual. How many slots it may use meanwhile is decided by StartupPace. */
    void beginColdStart(TimePoint now, Millis length = kDefaultColdStart);

    /** Records the sample of a request that ended while @p othersInFlight other requests ran. */
    void record(const ServiceSample &sample, int othersInFlight);

    /** Closes a measurement window in which at most @p peakInFlight requests ran at a time. */
    void closeWindow(TimePoint now, int peakInFlight);

private:
    /** Measures the throughput at the current limit and then at a lower one. */
    struct Trial {
        double limitBefore = 0;
        std::optional<double> rateBefore{}; ///< Completed requests per ms.
        TimePoint begin{}; ///< Of the measurement.
        TimePoint end{}; ///< Latest end of the measurement.
        int completed = 0;
        Millis measured{}; ///< Length of the measured windows.
    };

    double minLimit() const;
    void backOffAfterShed(int othersInFlight);
    void smoothOwnTime(TimePoint now);
    bool isOwnTimeSettled(TimePoint now) const;
    void updateBaseline(TimePoint now);
    void resetOwnTime(TimePoint now);
    bool isSlow() const;
    void startMeasurement(TimePoint now);
    void evaluateTrial(TimePoint now);
    void raise();

    int slots_;
    double limit_;
    double raiseShare_; ///< Part of the slots by which the next window raises the limit.
    std::optional<TimePoint> coldUntil_;
    std::optional<double> limitBeforeShed_; ///< Set if the server shed load in the open window.
    std::optional<Trial> trial_;
    int failedTrials_ = 0; ///< Consecutive.
    // Own service times in the open window, in ms.
    TimePoint windowStart_;
    double ownTimeSum_ = 0;
    int ownTimeCount_ = 0;
    double ownTime_ = 0; ///< Smoothed, in ms.
    int ownTimeSamples_ = 0;
    TimePoint ownTimeSince_;
    // Minimum of the smoothed own service time in this period and in the one before.
    std::optional<double> minimum_;
    std::optional<double> previousMinimum_;
    TimePoint periodStart_;
};

} // namespace Hibiscus

#endif
