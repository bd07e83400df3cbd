#ifndef HIBISCUS_TEAMS_ALLOTMENTMESSAGE_H
#define HIBISCUS_TEAMS_ALLOTMENTMESSAGE_H

#include "core/ids.h"
#include "core/millis.h"
#include "core/requestrate.h"

#include <cstdint>
#include <vector>

namespace Hibiscus
{

/** What a daemon (the holder) tells the lender about one team. */
struct AllotmentDemand {
    TeamName team;
    RequestRate demand; ///< Requests of callers in the last second or so, including refused ones.
    RequestRate usual; ///< The same over a longer time.
    double stock = 0; ///< Tokens that the holder has left.
    double waiting = 0; ///< Requests that wait for a token.
    double wanted = 0; ///< Further tokens that it can use until its next report, with those for waiting requests.
    double returned = 0; ///< Tokens that it gives back.
    double share = 0; ///< Fraction of the allotment that it holds, from 0 to 1.
};

/** Report of a holder on all teams of a partition that it holds something of. It holds nothing of other teams. */
struct AllotmentReport {
    HostAddress holder; ///< Peers listener of the reporting daemon.
    Incarnation incarnation; ///< Of that daemon's process.
    std::uint64_t sequence = 0; ///< Increases with each report of a process.
    std::vector<AllotmentDemand> teams;
};

/** What the lender grants a holder of one team. */
struct AllotmentGrant {
    TeamName team;
    double tokens = 0; ///< Requests that may run.
    /** Fraction of the allotment at whose rate the holder goes on when the lender doesn't answer, from 0 to 1. */
    double share = 0;
    double ownBurst = 0; ///< Requests that the holder may then run at once.
    double usedShare = 1; ///< Share of the allotment that the team uses over all daemons, from 0 to 1.
    Millis retryAfter{}; ///< Time until the holder can expect another token; 0 if the team has room now.
};

/** Answer to an AllotmentReport. Teams that the lender doesn't know are left out. */
struct AllotmentAnswer {
    Incarnation lender; ///< Of the lender's process.
    std::vector<AllotmentGrant> teams;
};

} // namespace Hibiscus

#endif
