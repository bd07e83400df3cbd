#ifndef HIBISCUS_TEAMS_ALLOTMENTHOLDER_H
#define HIBISCUS_TEAMS_ALLOTMENTHOLDER_H

#include "core/clock.h"
#include "core/randomsource.h"
#include "teams/allotmentgate.h"
#include "teams/lenderplan.h"
#include "teams/teamstock.h"

#include <array>
#include <map>
#include <vector>

namespace Hibiscus
{

/**
 * What one daemon holds of the allotments of all teams, and when it reports to their lenders. Answers a load of some
 * dozen teams of skewed sizes, of most of which a daemon sees a request now and then.
 */
class AllotmentHolder
{
public:
    /** What becomes of a request. */
    enum class Verdict {
        Admitted,
        Refused, ///< For what refusal() says.
        Ask, ///< The lender must be asked first.
    };

    /** @p clock and @p random must outlive the object. */
    AllotmentHolder(HostAddress self, Incarnation incarnation, const Clock &clock, RandomSource &random);

    /** Uses the allotments of @p teams from now on. */
    void setTeams(const std::vector<Team> &teams);
    /** Whether any team has a limit. */
    bool hasLimits() const
    {
        return !allotments_.empty();
    }
    bool isLimited(const TeamName &team) const
    {
        return allotments_.contains(team);
    }
    /** The lender of a partition is another process from now on. */
    void setLender(Partition partition, Incarnation lender);

    /** Takes a token for a request that arrives now. Teams without a limit need none. */
    Verdict admit(const TeamName &team);
    /** Takes a token for a request for which the lender was asked; false if there is none. */
    bool take(const TeamName &team);
    void giveBack(const TeamName &team);
    /** Decision for a request of @p team that gets no token. */
    AllotmentDecision refusal(const TeamName &team) const;
    /** Decision for a request of @p team that got a token. */
    AllotmentDecision admission(const TeamName &team) const;

    /** Whether a report is due that doesn't wait for requests. */
    bool isReportDue(Partition partition) const;
    /** Report that is sent now. @p waiting counts the requests by team that wait for tokens. */
    AllotmentReport report(Partition partition, const std::map<TeamName, std::size_t> &waiting);
    /** Takes in the answer to the last report. */
    void apply(Partition partition, const AllotmentAnswer &answer);
    /** There was no answer to the last report. */
    void fail(Partition partition);

    /** What is held of teams with limits, by team. */
    const std::map<TeamName, TeamStock> &stocks() const
    {
        return stocks_;
    }

private:
    /** Contact with the lender of one partition. */
    struct Contact {
        Incarnation lender; ///< As the directory says.
        Incarnation knownTo; ///< Process of the lender that has answered last.
        Incarnation sentTo; ///< Lender to which the last report was sent.
        TimePoint sentAt; ///< Of the last report.
        TimePoint failedAt; ///< When the last report got no answer.
        bool hasFailed = false; ///< The last report got no answer.
        bool isHolding = false; ///< The last report that was sent named teams.
    };

    Contact &contact(Partition partition);
    const Contact &contact(Partition partition) const;
    TeamStock &findStock(const TeamName &team, const Allotment &allotment, TimePoint now);
    bool isSilent(const Contact &contact) const;
    void dropIdle(Partition partition);

    HostAddress self_;
    Incarnation incarnation_;
    const Clock &clock_;
    RandomSource &random_;
    std::uint64_t sequence_ = 0;
    std::map<TeamName, Allotment> allotments_; ///< Of teams with a limit.
    std::map<TeamName, TeamStock> stocks_;
    std::array<Contact, kPartitions> contacts_;
};

} // namespace Hibiscus

#endif
