#ifndef HIBISCUS_ADMISSION_STARTUPPACE_H
#define HIBISCUS_ADMISSION_STARTUPPACE_H

#include "admission/ticket.h"
#include "core/millis.h"

#include <optional>

namespace Hibiscus
{

/** How a server got from its start, or its recovery, to all of its slots. */
struct PaceReport {
    Millis toFirstAnswer; ///< From the start to the first answer.
    Millis toFull; ///< From the first answer to the full share.
    int stepsBack = 0;
};

/**
 * Share of its slots that a server is given after it has started, recovered, or lifted a limit on its rate.
 *
 * Answers the load that meets a server whose speed nobody knows yet: a cold one that a full load would drown, or a warm
 * one that would idle until some clock has run out. The share begins low and goes up while answers are good and their
 * time doesn't grow with the share, stays while they are slower, and goes back while the server fails. A server that is
 * slow at any share is given all slots, since fewer would only take away from what it can do; one whose time has grown
 * with a step gets that step later. A server that went down again soon after its last start begins lower each time.
 */
class StartupPace
{
public:
    /** The server came up; it expects to be slow for @p hint. A server without any work until then has full share.
     * False if this start is known already. */
    bool begin(TimePoint now, Millis hint);

    /** The server went down. */
    void interrupt(TimePoint now);

    /** The server takes more than @p share of its slots from now on; how much more is to be found out. */
    void resume(TimePoint now, double share);

    /** A request ended, for which @p expected own service time is usual (0 if unknown). */
    void record(const ServiceSample &sample, Millis expected, TimePoint now);

    /** Decides about the next step; to be called each 100 ms, in which at most @p peakInFlight requests ran at a time
     * on
     * @p slots. */
    void closeWindow(TimePoint now, int peakInFlight, int slots);

    /** Number of @p slots that may be used, from 1 to all. */
    int usable(int slots) const;

    bool isFull() const;

    /** Report about the latest start, once after the full share was reached. */
    std::optional<PaceReport> takeReport();

private:
    /** Answers since the latest step. */
    struct Round {
        TimePoint begin{};
        int good = 0;
        int bad = 0;
        int peakInFlight = 0;
        int timed = 0; ///< Good ones that also began in this round.
        double ownTime = 0; ///< Of the timed ones, in ms.
        double expected = 0; ///< Of the timed ones, in ms; 0 if it is unknown for any.
    };

    /** Own service time; as a multiple of the usual one if that is known, else in ms. */
    struct Slowness {
        double value = 0;
        bool isRelative = false;
    };

    void start(TimePoint now, double share);
    void setShare(double share, TimePoint now);
    void finish(TimePoint now);
    bool isFailing() const;
    bool hasGrown(int slots) const;
    void stepUp(TimePoint now);
    void undoStep(TimePoint now);
    Slowness slowness() const;
    static int partOf(int slots, double share);

    double share_ = 1;
    double startShare_ = 1; ///< With which the latest start began.
    std::optional<TimePoint> begunAt_;
    Millis hint_{};
    std::optional<TimePoint> fullAt_;
    std::optional<TimePoint> firstAnswerAt_;
    bool isInterrupted_ = false;
    bool isRepeated_ = false; ///< The server went down soon after its start.
    Round round_;
    std::optional<Slowness> reference_; ///< Before the latest step up.
    double referenceShare_ = 1; ///< At which it was measured.
    Millis hold_{}; ///< For which the latest undone step is put off.
    TimePoint holdUntil_;
    int stepsBack_ = 0;
    std::optional<PaceReport> report_;
};

} // namespace Hibiscus

#endif
