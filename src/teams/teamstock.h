#ifndef HIBISCUS_TEAMS_TEAMSTOCK_H
#define HIBISCUS_TEAMS_TEAMSTOCK_H

#include "teams/allotmentmessage.h"
#include "teams/team.h"

namespace Hibiscus
{

/**
 * What one daemon holds of the allotment of one team: tokens that the lender granted, and a share at whose rate the
 * daemon goes on when the lender doesn't answer. Answers a load of a few requests a second, or a few a minute, with
 * bursts, and a cut from the lender of seconds or hours.
 */
class TeamStock
{
public:
    /** @p rounding is uniform in [0, 1): daemons with a part of a token round it up or down with it, so that all
     * together they run as many requests as they hold tokens. */
    TeamStock(const Allotment &allotment, double rounding, TimePoint now);

    void setAllotment(const Allotment &allotment);

    /** Counts a request of a caller. */
    void recordRequest(TimePoint now);
    /** Takes a token; false if there is none. */
    bool take(TimePoint now);
    /** Takes back a token that was not used. */
    void giveBack();

    /** The lender said that it has no more tokens for now, so that asking it again is of no use. */
    bool isShort(TimePoint now) const
    {
        return now < shortUntil_;
    }
    /** Time until a token can be expected, after one was refused. */
    Millis retryAfter(TimePoint now) const;
    /** Share of its allotment that the team uses over all daemons, from 0 to 1; 1 if it isn't known. */
    double usedShare() const
    {
        return usedShare_;
    }
    /** Fraction of the allotment that is reserved for this daemon. */
    double share() const
    {
        return share_;
    }
    const Allotment &allotment() const
    {
        return allotment_;
    }
    /** The team has sent nothing for so long that the daemon gives back what it holds. */
    bool isIdle(TimePoint now) const;

    /** What the lender is told. @p waiting requests wait for tokens. Tokens that are returned are gone from here. */
    AllotmentDemand report(const TeamName &team, std::size_t waiting, TimePoint now);
    /** Takes in the answer to the report that was sent at @p sentAt. */
    void apply(const AllotmentGrant &grant, TimePoint sentAt, TimePoint now);
    /** The lender answered, but does not know the team. */
    void applyUnknown();
    /** The lender knows the team. */
    bool isKnown() const
    {
        return isKnown_;
    }

private:
    void expire(TimePoint now);
    bool isAlone(TimePoint now) const;
    void saveUp(TimePoint now);
    void decayDemand(TimePoint now);

    Allotment allotment_;
    double rounding_;
    double tokens_ = 0;
    double share_ = 0;
    double usedShare_ = 1;
    double ownBurst_ = 0;
    double ownTokens_ =
        0; ///< For the time when the lender doesn't answer, in which they grow at the rate of the share.
    TimePoint ownTokensAt_;
    TimePoint answeredAt_; ///< When the last report was sent that was answered.
    TimePoint shortUntil_;
    Millis retryAfter_{};
    double demand_ = 0; ///< Requests a second, smoothed over about a second.
    double usual_ = 0; ///< The same over a longer time.
    TimePoint demandAt_;
    TimePoint lastRequest_;
    bool isKnown_ = false;
};

} // namespace Hibiscus

#endif
