#ifndef HIBISCUS_TEAMS_LENDERCHOICE_H
#define HIBISCUS_TEAMS_LENDERCHOICE_H

#include "core/millis.h"
#include "teams/lenderplan.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Hibiscus
{

/**
 * Lender of each partition as one daemon sees it: the highest-ranked daemon that answers. A daemon that doesn't answer
 * is passed over, whether it is gone for good, cut off or frozen, until it answers a probe or another process of it is
 * listed. Daemons that are cut off from each other thus choose different lenders; AllotmentLedger keeps the sum of what
 * these lend within the allotment.
 */
class LenderChoice
{
public:
    /** A lender that has answered is passed over when it fails to, and its last answer is older than this. */
    static constexpr Millis kFailoverAfter{1600};

    /** Uses the daemons that may lend from now on. */
    void setDaemons(const Daemons &daemons);

    /** Empty if there are no daemons. If none answers, the one with the highest rank. */
    const std::optional<HostAddress> &lender(Partition partition) const
    {
        return lenders_.at(partition.value());
    }
    /** Process of the lender of a partition, as the directory says. */
    Incarnation incarnation(Partition partition) const;

    void recordAnswer(const HostAddress &daemon, TimePoint now);
    void recordFailure(const HostAddress &daemon, TimePoint now);

    /**
     * Daemons that are to be probed now: one that was passed over and may answer again, and several in line for a
     * partition whose lender hasn't answered lately. To be called every 50 ms or so.
     */
    std::vector<HostAddress> takeDueProbes(TimePoint now);

private:
    struct Contact {
        std::optional<TimePoint> answeredAt;
        std::optional<TimePoint> probedAt;
    };

    void choose();
    bool outranksLender(const HostAddress &daemon) const;
    std::optional<HostAddress> longestSilent(TimePoint now) const;
    std::vector<HostAddress> nextInLine(Partition partition, TimePoint now) const;
    bool isAnswering(const HostAddress &daemon, TimePoint now) const;
    bool isProbeDue(const HostAddress &daemon, TimePoint now) const;

    Daemons daemons_;
    std::array<std::vector<HostAddress>, kPartitions> ranked_; ///< Daemons by falling rank.
    std::map<HostAddress, Contact> contacts_;
    std::set<HostAddress> silent_;
    std::array<std::optional<HostAddress>, kPartitions> lenders_;
    TimePoint silentProbedAt_; ///< When a daemon that was passed over was last probed.
};

} // namespace Hibiscus

#endif
