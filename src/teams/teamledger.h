#ifndef HIBISCUS_TEAMS_TEAMLEDGER_H
#define HIBISCUS_TEAMS_TEAMLEDGER_H

#include "teams/allotmentmessage.h"
#include "teams/team.h"

#include <unordered_map>

namespace Hibiscus
{

/**
 * Lends the allotment of one team to the daemons that get its requests.
 *
 * Answers a load that is uneven and moves between daemons, and a team that sends many times its allotment: then each
 * daemon gets tokens in proportion to the requests that it sees, so that each request has the same chance.
 *
 * Each listed daemon owns the same part of the allotment, and a lender lends the parts of those that report to it. So
 * the lenders of daemons that are cut off from each other lend no more than the allotment together, whether they know
 * of each other or not, and a daemon that is gone for good holds back no more than its part.
 *
 * Holds the tokens that are not lent. These and the tokens at holders stay within the larger part of the burst; the
 * rest is what holders have in case that the lender doesn't answer, plus the smaller of 0.3 of the burst and 0.4 s of
 * the rate. The rates at which all of them grow stay within the rate. Over any time, holders thus run at most rate x
 * time + burst requests, plus this and a constant slack. A share that was granted is reserved while its holder is
 * silent, for as long as anybody may use it.
 */
class TeamLedger
{
public:
    /** Parts of the allotment that daemons own, as fractions. */
    struct Parts {
        double held = 0; ///< Of daemons whose parts this lender lends.
        double coming = 0; ///< Of daemons whose parts another lender may still count on.
    };

    /** What doesn't depend on the team. */
    struct View {
        bool isComplete = false; ///< All daemons report to this lender, so none of them to another one.
        Parts all; ///< Of daemons that report to this lender, or did until a few seconds ago.
        Parts inTouch; ///< Of those among them that are in touch.
    };

    /** Contact of a holder with this lender. */
    struct Contact {
        TimePoint since; ///< First report after a time in which another lender may have had the holder's reports.
        bool isNew = false; ///< This report is the first.
    };

    /** Requests beyond the allotment that keep teams with few requests a second from being refused by chance. */
    static constexpr double kSlack = 10;

    /** Begins without tokens, and without new ones until settle() has been called. */
    TeamLedger(const Allotment &allotment, TimePoint now);

    void setAllotment(const Allotment &allotment, TimePoint now);
    const Allotment &allotment() const
    {
        return allotment_;
    }

    /** Takes in the report of a holder and lends to it. */
    AllotmentGrant lend(const HostAddress &holder, const Contact &contact, const AllotmentDemand &demand,
                        TimePoint now);

    /** Notices which holders fell silent, and what may be lent. To be called often. */
    void settle(const View &view, TimePoint now);

    /** The holder has given back what it held. */
    void release(const HostAddress &holder);

    /** Requests a second of all holders that are in touch. */
    RequestRate demand() const
    {
        return {demand_};
    }
    /** Fraction of the allotment that may be lent, from 0 to 1. */
    double lendablePart() const
    {
        return lendablePart_;
    }
    std::size_t holders() const
    {
        return loans_.size();
    }

private:
    struct Loan {
        TimePoint contactSince;
        double foreignShare = 0; ///< That the holder had from another lender when the contact began.
        double demand = 0; ///< Requests a second.
        double usual = 0; ///< The same over a longer time.
        double share = 0; ///< Largest that the holder may hold.
        double tokens = 0; ///< Most that the holder may have left.
        TimePoint heardAt;
        bool isSilent = false;
    };

    void refill(RequestRate rate, TimePoint now);
    void count(const Loan &loan, double sign);
    double foreignPart(double limit, TimePoint now, bool isInTouch) const;
    double ownBurst(double share) const;
    double burst() const;
    RequestRate lendableRate() const;
    bool isOverloaded() const;
    double divisionTime() const;
    double usableTokens(const AllotmentDemand &demand) const;
    double grantLimit(const AllotmentDemand &demand, Millis sinceLast) const;
    double grantShare(const Loan &loan) const;
    AllotmentGrant describe(const Loan &loan) const;

    Allotment allotment_;
    double bucket_ = 0;
    TimePoint refilledAt_;
    std::unordered_map<HostAddress, Loan> loans_;
    // Sums over loans_.
    double demand_ = 0; ///< Of holders in touch.
    double usual_ = 0; ///< Of holders in touch.
    double liveShare_ = 0; ///< Of holders in touch.
    double silentShare_ = 0;
    double tokensOut_ = 0;
    // Fractions of the allotment.
    double lendablePart_ = 0; ///< That is not reserved for silent holders or for daemons that are out of touch.
    double sharablePart_ = 0; ///< That may be granted in shares.
};

} // namespace Hibiscus

#endif
