#ifndef HIBISCUS_MEMBERSHIP_RULEADOPTION_H
#define HIBISCUS_MEMBERSHIP_RULEADOPTION_H

#include "core/ids.h"
#include "core/millis.h"

#include <map>
#include <optional>
#include <vector>

namespace Hibiscus
{

/** Response of one member to one round, as far as majorities are concerned. */
struct AdoptionReport {
    ServerName name;
    Incarnation incarnation;
    ConfigVersion adopted;
    bool counts = false;
};

/**
 * Majorities of one failure domain, as its agent sees them. A version is confirmed when one majority of processes, each
 * counting, had adopted it and the same processes respond to a round sent L plus 10% later. The same processes are
 * required at both ends because a process that is replaced in between could stand in for one that had adopted the
 * version.
 */
class RuleAdoption
{
public:
    /** Roster of @p version, which this process has adopted. */
    void setRoster(ConfigVersion version, std::vector<ServerName> roster);

    /**
     * Version that the domain confirmed last and its roster. A newer version also needs a majority of this roster, as
     * processes under the older version renew their leases by its majority.
     */
    void setConfirmed(ConfigVersion version, std::vector<ServerName> roster);

    /** Takes a response to a round that was sent at @p roundSentAt. */
    void report(const AdoptionReport &report, TimePoint roundSentAt, TimePoint now);

    /** Rule (b): whether the reports to one round, each not above the adopted version, hold a majority of its roster.
     */
    bool majorityFresh(const std::vector<AdoptionReport> &round) const;

    /** Highest version that may be confirmed now; none when there is nothing new to confirm. */
    std::optional<ConfigVersion> confirmable() const;

    ConfigVersion confirmed() const;
    /** Roster of @p version; empty when it was not adopted here or is below the confirmed version. */
    std::vector<ServerName> rosterOf(ConfigVersion version) const;
    /** Roster of the adopted version. */
    const std::vector<ServerName> &roster() const;

private:
    /** Adoption of one process, from the first report of each version to the sending of the last round it answered. */
    struct Observation {
        Incarnation incarnation;
        std::map<ConfigVersion, TimePoint> adoptedBy; ///< Arrival of the first report at this version.
        TimePoint lastRound;
    };

    bool settledMajority(const std::vector<ServerName> &roster, ConfigVersion version) const;
    bool settled(ConfigVersion version) const;

    std::map<ConfigVersion, std::vector<ServerName>> rosters_; ///< Adopted versions not below the confirmed one.
    ConfigVersion confirmed_;
    std::vector<ServerName> confirmedRoster_;
    std::map<ServerName, Observation> observations_;
};

/** Whether @p count is more than half of @p total. */
constexpr bool isMajority(std::size_t count, std::size_t total)
{
    return 2 * count > total;
}

/**
 * Whether @p version is accepted: confirmed by every domain that has servers in it, and by every other domain in
 * @p confirmed. There the caller puts all domains with a confirm object, as a domain that was removed from the
 * inventory may still serve under an older version; except those whose object lists no servers
 * (parseConfirmation()), since no majority renews leases in them any more.
 */
bool isAccepted(ConfigVersion version, const std::vector<FailureDomainName> &inventoryDomains,
                const std::map<FailureDomainName, ConfigVersion> &confirmed);

} // namespace Hibiscus

#endif
