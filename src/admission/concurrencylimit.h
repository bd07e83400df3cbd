#ifndef HIBISCUS_ADMISSION_CONCURRENCYLIMIT_H
#define HIBISCUS_ADMISSION_CONCURRENCYLIMIT_H

#include "admission/ticket.h"
#include "core/millis.h"

#include <optional>

namespace Hibiscus
{

/**
 * How many requests the backend server may run at a time, learned from their own service time. Time spent waiting for
 * child calls is left out, so a slow deep service does not shrink the limit, and nothing that the server says about
 * its load is used.
 *
 * A back-off is a trial: if fewer requests at a time did not shorten the own service time, then the server was not
 * overloaded (the mix of requests changed, or the server is slower at any load), and the limit is restored.
 */
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(int slots);

    /** Whole requests, from 1 to the slots. */
    int value() const;

    void setSlots(int slots);

    /** Begins a cold start: half the slots, rising to all of them over 10 s. The learned times are dropped.
     */
    void startCold(TimePoint now);

    /** Takes the sample of a request that was started at @p start and ended while @p othersInFlight ran. */
    void record(const ServiceSample &sample, TimePoint start, int othersInFlight);

    /** Closes a measurement window in which at most @p peakInFlight requests ran at a time. */
    void closeWindow(TimePoint now, int peakInFlight);

private:
    /** A back-off whose effect on the own service time is being measured. */
    struct Trial {
        double limitBefore;
        double ownTimeBefore;
        TimePoint settled; ///< Requests started earlier do not count.
        TimePoint end; ///< The trial is given up if there are too few requests until then.
        double sum = 0;
        int count = 0;
    };

    double lowest() const;
    double ceiling(TimePoint now) const;
    void noteTrouble(double limit, TimePoint now);
    void backOffAfterShed(int othersInFlight);
    void smoothOwnTime();
    void learnBaseline(TimePoint now);
    void resetBaseline(std::optional<double> ownTime);
    bool isSlow() const;
    void startTrial(TimePoint now);
    void judgeTrial(TimePoint now);
    void raise(TimePoint now);

    int slots_;
    double limit_;
    std::optional<TimePoint> coldSince_;
    // Own service time of the open window, and smoothed over the windows.
    double windowSum_ = 0;
    int windowCount_ = 0;
    double ownTime_ = 0;
    int ownTimeSamples_ = 0;
    // Limit before the first load shedding of the server in the open window.
    std::optional<double> limitBeforeShed_;
    // Minimum of the smoothed own service time in this period and in the one before.
    std::optional<double> minimum_;
    std::optional<double> previousMinimum_;
    TimePoint periodStart_;
    std::optional<Trial> trial_;
    // Limit at the last back-off; above it the limit is raised with care.
    double troubleLimit_ = 0;
    TimePoint troubleAt_;
};

} // namespace Hibiscus

#endif
