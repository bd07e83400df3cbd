#ifndef HIBISCUS_ADMISSION_TICKET_H
#define HIBISCUS_ADMISSION_TICKET_H

#include "admission/level.h"
#include "core/errorkind.h"
#include "core/millis.h"
#include "core/strongid.h"

#include <cstdint>
#include <vector>

namespace Hibiscus
{

/** One request at one AdmissionController; unique among the requests it has queued or running. */
using TicketId = StrongId<struct TicketIdTag, std::uint64_t>;

/** A request that asks for a slot of the local backend server. */
struct Ticket {
    TicketId id;
    int classRank = 0; ///< 0 is least important.
    int bucket = 0; ///< 0..127
    TimePoint arrival; ///< When it asked for a slot; set by AdmissionController::arrive().
    TimePoint deadline;
    Millis expectedOwnTime; ///< Expected own service time; 0 if unknown.
    /**
     * Set for a nested call that a running request waits for. It is queued even below the admission level, and for as
     * long as a ticket of the highest class, since refusing it would waste the work done so far; load is shed where
     * requests begin.
     */
    bool isExemptFromLevel = false;

    Level level() const
    {
        return levelOf(classRank, bucket);
    }
};

/** A ticket that left the queue without running. Every kind used here has the outcome "not run". */
struct RefusedTicket {
    Ticket ticket;
    ErrorKind error;
};

/**
 * Decisions about queued tickets that one call of AdmissionController made. The caller runs the started tickets and
 * responds to the refused ones.
 */
struct Dispatch {
    std::vector<Ticket> started;
    std::vector<RefusedTicket> refused;
};

/** Measurements of one request that held a slot. */
struct ServiceSample {
    Millis total; ///< From the dispatch to the complete response.
    Millis waitingForChildren; ///< Part of the total in which at least one child call was outstanding.
    bool serverShed = false; ///< The backend server refused the request because of its load.
    bool failed = false; ///< No complete response: connection lost, deadline exceeded or cancelled.
    bool isServersFault = false; ///< The backend server failed the request by itself.

    /** Time that the server spent on the request itself. */
    Millis ownTime() const
    {
        return {total > waitingForChildren ? (total - waitingForChildren).value : 0};
    }
};

} // namespace Hibiscus

#endif
