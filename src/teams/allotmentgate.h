#ifndef HIBISCUS_TEAMS_ALLOTMENTGATE_H
#define HIBISCUS_TEAMS_ALLOTMENTGATE_H

#include "core/errorkind.h"
#include "core/millis.h"
#include "teams/team.h"

#include <functional>
#include <optional>

namespace Hibiscus
{

/** Whether a request of a team may go on. */
struct AllotmentDecision {
    std::optional<ErrorKind> refusal{}; ///< OverAllotment or AllotmentUnknown; empty if the request may go on.
    Millis retryAfter{}; ///< For a refusal: time after which the team has room again.
    /** Share of its allotment that the team uses at present over all daemons, from 0 to 1; 1 if it isn't known. */
    double usedShare = 1;
};

/** Decides which requests lie within the allotments of their teams. */
class AllotmentGate
{
public:
    using Callback = std::function<void(const AllotmentDecision &)>;

    virtual ~AllotmentGate() = default;

    /** Takes one request of @p team from its allotment. Calls @p callback once, mostly before it returns, otherwise
     * after an answer of another daemon, within 250 ms. */
    virtual void admit(const TeamName &team, Callback callback) = 0;

    /** Returns what admit() took for a request that did not run. */
    virtual void giveBack(const TeamName &team) = 0;
};

} // namespace Hibiscus

#endif
