#ifndef HIBISCUS_TEAMS_TEAMLEDGER_H
#define HIBISCUS_TEAMS_TEAMLEDGER_H

#include "teams/allotmentmessage.h"
#include "teams/team.h"

#include <functional>
#include <unordered_map>

namespace Hibiscus
{

/**
 * Lends the allotment of one team to the daemons that get its requests.
 *
 * Answers a load that is uneven and moves between daemons, and a team that sends many times its allotment: then each
 * daemon gets tokens in proportion to the requests that it sees, so that each request has the same chance.
 *
 * Holds the tokens that are not lent. These and the tokens at holders stay within the larger part of the burst; the
 * rest is what holders have in case that the lender doesn't answer, plus the smaller of 0.3 of the burst and 0.4 s of
 * the rate. The rates at which all of them grow stay within the rate. Over any time, holders thus run at most rate x
 * time + burst requests, plus this and a constant slack. A share that was granted is reserved while its holder is
 * silent, for as long as its process may run.
 */
class TeamLedger
{
public:
    /** What the directory says of a process. */
    enum class Presence {
        Listed,
        Unlisted, ///< Its daemon has no server yet, or will end soon.
        Replaced, ///< Another process of the daemon is listed.
    };

    /** What the lender knows of the deployment. */
    struct View {
        /** Fraction of the daemons that have not reported to this lender yet, and so may hold any share. */
        double unheard = 0;
        bool isTakingOver = false; ///< The lender is new: unheard daemons may hold all that others don't hold.
        std::function<Presence(const HostAddress &holder, Incarnation incarnation)> presence{};
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
    AllotmentGrant lend(const HostAddress &holder, Incarnation incarnation, const AllotmentDemand &demand,
                        TimePoint now);

    /** Notices which holders fell silent. To be called often. */
    void settle(const View &view, TimePoint now);

    /** The holder has given back what it held. */
    void release(const HostAddress &holder);

    /** Requests a second of all holders that are in touch. */
    RequestRate demand() const
    {
        return {demand_};
    }
    /** Share of the allotment that is reserved for silent holders and unheard daemons. */
    double reservedShare() const
    {
        return silentShare_ + assumedShare_;
    }
    std::size_t holders() const
    {
        return loans_.size();
    }

private:
    struct Loan {
        Incarnation incarnation;
        double demand = 0; ///< Requests a second.
        double usual = 0; ///< The same over a longer time.
        double share = 0; ///< Largest that the holder may hold.
        double tokens = 0; ///< Most that the holder may have left.
        TimePoint heardAt;
        bool isSilent = false;
    };

    void refill(RequestRate rate, TimePoint now);
    void count(const Loan &loan, double sign);
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
    double assumedShare_ = 1; ///< Of daemons that have not reported yet.
};

} // namespace Hibiscus

#endif
