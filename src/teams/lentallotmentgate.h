#ifndef HIBISCUS_TEAMS_LENTALLOTMENTGATE_H
#define HIBISCUS_TEAMS_LENTALLOTMENTGATE_H

#include "teams/allotmentholder.h"

#include <cstdint>

namespace Hibiscus
{

/** What became of the requests of one team at this daemon. */
struct AllotmentCounts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0; ///< Over the allotment.
    std::uint64_t unknown = 0; ///< The lender did not answer, and nothing was held.
};

/**
 * Admits requests within the allotments that lenders lend to this daemon. A request without a token waits for the
 * answer to one report, together with the other requests of its partition, for kLongestWait and a tick at most.
 */
class LentAllotmentGate : public AllotmentGate
{
public:
    /** Takes the lender's answer; empty if there is none. */
    using Reply = std::function<void(const std::optional<AllotmentAnswer> &)>;
    /** Sends a report to the lender of a partition and calls @p reply once, possibly at once. */
    using Send = std::function<void(Partition partition, const AllotmentReport &report, Reply reply)>;

    /** A wait ends with the first tick() after this time. */
    static constexpr Millis kLongestWait{200};

    /** @p clock and @p random must outlive the object. */
    LentAllotmentGate(AllotmentHolder holder, const Clock &clock, Send send);

    void admit(const TeamName &team, Callback callback) override;
    void giveBack(const TeamName &team) override;

    void setTeams(const std::vector<Team> &teams);
    void setLender(Partition partition, Incarnation lender);
    /** Sends the reports that are due and ends the waits that have become too long. To be called every 50 ms or so. */
    void tick();

    const AllotmentHolder &holder() const
    {
        return holder_;
    }
    /** By team, for teams with a limit. */
    const std::map<TeamName, AllotmentCounts> &counts() const
    {
        return counts_;
    }

private:
    struct Waiting {
        TeamName team;
        Callback callback;
        TimePoint since;
    };
    struct Line {
        std::vector<Waiting> waiting;
        std::size_t asked = 0; ///< The first of waiting, for which the report on the way asks.
        bool isAsking = false;
    };

    void ask(Partition partition);
    void handleReply(Partition partition, const std::optional<AllotmentAnswer> &answer);
    void endWait(const Waiting &waiting);
    AllotmentDecision admission(const TeamName &team);
    AllotmentDecision refusal(const TeamName &team);

    AllotmentHolder holder_;
    const Clock &clock_;
    Send send_;
    std::array<Line, kPartitions> lines_;
    std::map<TeamName, AllotmentCounts> counts_;
};

} // namespace Hibiscus

#endif
