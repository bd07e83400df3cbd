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
    /** This daemon becomes the lender of a partition, of which others may hold something. */
    void begin(Partition partition);

    /** Notices which holders fell silent. To be called every few hundred milliseconds. */
    void tick();

    /** Takes in the report of a holder and lends to it. A report that is older than the last of its holder is answered
     * without grants. */
    AllotmentAnswer lend(Partition partition, const AllotmentReport &report);

    /** Ledgers of teams by name, of all partitions that this daemon has lent. */
    const std::map<TeamName, TeamLedger> &teams() const
    {
        return ledgers_;
    }

private:
    /** Last report of a daemon. */
    struct Heard {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
    };
    struct Lending {
        TimePoint begunAt;
        TimePoint settledAt;
        std::map<HostAddress, Heard> heard;
    };

    bool isLate(const Lending &lending, const AllotmentReport &report) const;
    void releaseOthers(Partition partition, const AllotmentReport &report);
    TeamLedger::View view(const Lending &lending) const;
    void settle(Partition partition, Lending &lending);
    void addLedgers(Partition partition);

    Incarnation self_;
    const Clock &clock_;
    std::map<TeamName, Allotment> allotments_;
    Daemons daemons_;
    std::map<Partition, Lending> lendings_;
    std::map<TeamName, TeamLedger> ledgers_;
};

} // namespace Hibiscus

#endif
