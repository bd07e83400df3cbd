#ifndef HIBISCUS_TEAMS_ALLOTMENTLEDGER_H
#define HIBISCUS_TEAMS_ALLOTMENTLEDGER_H

#include "core/clock.h"
#include "teams/lenderplan.h"
#include "teams/teamledger.h"

#include <map>
#include <vector>

namespace Hibiscus
{

/**
 * What one daemon lends as the lender of partitions of teams. Answers the reports of up to 900 daemons, of which each
 * holds tokens of a few teams.
 */
class AllotmentLedger
{
public:
    /** @p clock must outlive the object. */
    AllotmentLedger(Incarnation self, const Clock &clock);

    /** Uses the allotments of @p teams from now on. */
    void setTeams(const std::vector<Team> &teams);
    /** Daemons that may hold something. */
    void setDaemons(const Daemons &daemons);

    /** Notices which holders fell silent, and ends lending where nobody reports any more. To be called every few
     * hundred milliseconds. */
    void tick();

    /** Takes in the report of a holder and lends to it. A report that is older than the last of its holder is answered
     * without grants. Teams of which nothing may be lent yet are left out of the answer. */
    AllotmentAnswer lend(Partition partition, const AllotmentReport &report);

    /** Ledgers of teams by name, of all partitions that this daemon has lent. */
    const std::map<TeamName, TeamLedger> &teams() const
    {
        return ledgers_;
    }

private:
    /** A daemon of the directory. */
    struct ListedDaemon {
        Incarnation incarnation;
        TimePoint since; ///< When this process saw first that it is listed.
    };
    /** Reports of a daemon. */
    struct Contact {
        Incarnation incarnation;
        std::uint64_t sequence = 0; ///< Of the last report.
        TimePoint since; ///< First report after a time in which another lender may have had them.
        TimePoint heardAt; ///< Last report.
    };
    struct Lending {
        TimePoint begunAt;
        TimePoint settledAt;
        TimePoint heardAt; ///< Last report of any daemon.
        std::map<HostAddress, Contact> contacts;
        std::size_t fewestDaemons = 0; ///< That a daemon which is out of touch may know of.
        TimePoint fewestAt; ///< When there were as few.
    };

    Lending &findLending(Partition partition);
    void end(Partition partition);
    static bool isLate(const Lending &lending, const AllotmentReport &report);
    TeamLedger::Contact recordContact(Lending &lending, const AllotmentReport &report) const;
    void releaseOthers(Partition partition, const AllotmentReport &report);
    TeamLedger::View view(Lending &lending) const;
    void updateFewest(Lending &lending, std::size_t daemons, bool isComplete) const;
    void settle(Partition partition, Lending &lending);
    void addLedgers(Partition partition);

    Incarnation self_;
    const Clock &clock_;
    std::map<TeamName, Allotment> allotments_;
    std::map<HostAddress, ListedDaemon> daemons_;
    std::map<Partition, Lending> lendings_;
    std::map<TeamName, TeamLedger> ledgers_;
};

} // namespace Hibiscus

#endif
