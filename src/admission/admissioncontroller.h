#ifndef HIBISCUS_ADMISSION_ADMISSIONCONTROLLER_H
#define HIBISCUS_ADMISSION_ADMISSIONCONTROLLER_H

#include "admission/admissionlevel.h"
#include "admission/admissionqueue.h"
#include "admission/classreserve.h"
#include "admission/concurrencylimit.h"
#include "admission/firstrequests.h"
#include "admission/ratelimit.h"
#include "admission/startuppace.h"
#include "admission/ticket.h"
#include "core/clock.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/** Decision on an arriving ticket. */
struct Decision {
    enum class Kind {
        RunNow, ///< The ticket holds a slot; the caller must report finished().
        Queued, ///< A later finished(), tick() or setServerHealthy() starts or refuses it, unless it is cancelled.
        Refused, ///< Not run, for the reason in error.
    };

    Kind kind;
    ErrorKind error = ErrorKind::Overloaded; ///< Only meaningful for Refused.
};

struct AdmissionSettings {
    int slots = 1; ///< Slots of the backend server in the inventory.
    int classCount = 1; ///< Request classes in the rules; ranks at or above it are handled as the highest.
};

/**
 * Decides when each request for the local backend server runs. Every ticket ends in exactly one of started, refused
 * and cancelled. No locking and no I/O; time comes from the clock.
 */
class AdmissionController
{
public:
    /** @p clock must outlive the controller. */
    AdmissionController(const AdmissionSettings &settings, const Clock &clock);

    /**
     * Decides about a new ticket. Refusals: Unreachable (server unhealthy), Draining, DeadlineBeforeRun, Overloaded,
     * and InProgress for an id that is already queued or running.
     */
    Decision arrive(Ticket ticket);

    /** Frees the slot of a started ticket and starts queued tickets that then fit. Unknown ids free no slot. */
    Dispatch finished(TicketId id, const ServiceSample &sample);

    /**
     * Refuses queued tickets that would miss their deadline or waited too long, closes the measurement window once it
     * is due, and starts queued tickets that fit. Call it every 10 ms.
     */
    Dispatch tick();

    /** Removes a queued ticket; true if it was queued, and then it never runs. A running ticket is not affected. */
    bool cancel(TicketId id);

    /** From now on every arrival is refused as Draining; queued and running tickets finish. */
    void drain();

    /** An unhealthy server gets no work: arrivals and the queued tickets are refused as Unreachable. One that recovers
     * begins as after a start. */
    Dispatch setServerHealthy(bool healthy);

    /** The backend server process was restarted and expects to be slow for @p coldStart. The slots that it may use
     * begin low and rise with its answers. */
    void serverStarted(Millis coldStart = ConcurrencyLimit::kDefaultColdStart);

    /** Applies a changed number of slots or classes. Queued and running tickets are kept. */
    void configure(const AdmissionSettings &settings);

    /** Lowest level that is admitted now. */
    Level level() const;

    /** Tickets that could start in addition, at least 0. */
    int headroom() const;

    /** Tickets that may run at a time; under a limit on the rate, those that then run at a time. */
    int limit() const;

    /** Limit that the server names on the rate of its requests. */
    RateLimit &rateLimit();
    const RateLimit &rateLimit() const;

    /** Time after which a ticket that is refused as Overloaded now could start, as far as it is known; else 0. */
    Millis retryAfter() const;

    /** How the server got from its latest start to all of its slots, and what its first requests got. */
    StartupPace &pace();
    FirstRequests &firstRequests();

    int running() const;
    std::size_t queued() const;
    bool draining() const;

private:
    struct Running {
        int classRank;
        TimePoint start;
        Millis expectedOwnTime;
    };

    int classCount() const;
    void beginPace(Millis coldStart);
    int usableSlots() const;
    Decision refuse(ErrorKind error, TimePoint now);
    void recordEnd(const Running &ticket, const ServiceSample &sample, TimePoint now);
    void followRateLimit(TimePoint now);
    bool canStart(int classRank, TimePoint now) const;
    void recordHoldTime(Millis total);
    void start(const Ticket &ticket, TimePoint now);
    void recordWait(const Ticket &ticket, TimePoint now);
    void refuseExpired(Dispatch &dispatch, TimePoint now);
    void refuseTimedOut(Dispatch &dispatch, TimePoint now);
    void closeWindow(TimePoint now);
    void startQueued(Dispatch &dispatch, TimePoint now);

    const Clock &clock_;
    AdmissionSettings settings_;
    ConcurrencyLimit limit_;
    StartupPace pace_;
    FirstRequests firstRequests_;
    RateLimit rateLimit_;
    std::optional<double> limitedShare_; ///< Of the slots, which the limit on the rate keeps busy; empty without one.
    Millis holdTime_; ///< Smoothed time for which a ticket runs.
    ClassReserve reserve_;
    AdmissionQueue queue_;
    AdmissionLevel level_;
    std::unordered_map<TicketId, Running> running_;
    WindowLoad window_;
    TimePoint windowStart_;
    int peakInFlight_ = 0;
    // Queued tickets of classes below this rank are refused before the next start, unless they are exempt from the
    // level. A ticket of this class was refused as Overloaded, or the level refuses some of its buckets, and a less
    // important ticket that arrived before must not run instead.
    int refuseBelow_ = 0;
    bool draining_ = false;
    bool healthy_ = true;
};

} // namespace Hibiscus

#endif
