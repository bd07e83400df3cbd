#include "teams/teamledger.h"

#include "teams/allotmentterms.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr double kMillisPerSecond = 1000;
/** Part of the allotment that is given out in shares; the rest is at hand for daemons that get their first requests. */
constexpr double kSharedPart = 0.95;
/** Part of the burst that is not lent, since holders have it in case that the lender doesn't answer. */
constexpr double kOwnPart = 0.25;
/** Part of the burst that holders keep together as tokens for requests to come. */
constexpr double kLentBurst = 0.8;
/** Part of the tokens there are that one holder gets for requests to come. */
constexpr double kAheadPart = 0.3;
/** Demand relative to the rate from which on tokens are divided; below, the burst evens it out. */
constexpr double kOverload = 1.2;
constexpr Millis kShortestRetry{50};
constexpr Millis kLongestRetry{10000};

} // namespace

TeamLedger::TeamLedger(const Allotment &allotment, TimePoint now)
    : allotment_(allotment)
    , refilledAt_(now)
{
}

void TeamLedger::setAllotment(const Allotment &allotment, TimePoint now)
{
    if (allotment == allotment_) {
        return;
    }
    refill(lendableRate(), now);
    const bool wasUnlimited = allotment_.isUnlimited();
    allotment_ = allotment;
    bucket_ = wasUnlimited ? burst() : std::min(bucket_, burst());
}

AllotmentGrant TeamLedger::lend(const HostAddress &holder, const Contact &contact, const AllotmentDemand &demand,
                                TimePoint now)
{
    if (allotment_.isUnlimited()) {
        return {demand.team, demand.wanted, 0, 0, 0, {}};
    }
    refill(lendableRate(), now);
    const auto [found, isNew] = loans_.try_emplace(holder);
    Loan &loan = found->second;
    const Millis sinceLast = isNew ? AllotmentTerms::kReportInterval : now - loan.heardAt;
    if (!isNew) {
        count(loan, -1);
    }
    const double share = std::min(demand.share, 1.0);
    loan = {contact.since,
            contact.isNew ? share : loan.foreignShare,
            demand.demand.perSecond,
            demand.usual.perSecond,
            share,
            demand.stock,
            now,
            false};
    count(loan, 1);
    bucket_ = std::min(bucket_ + demand.returned, std::max(0.0, burst() - tokensOut_));

    const double usable = usableTokens(demand);
    const double tokens = std::min(usable, grantLimit(demand, sinceLast));
    bucket_ -= tokens;
    count(loan, -1);
    const double granted = grantShare(loan);
    loan.tokens += tokens;
    loan.share = std::max(loan.share, granted);
    count(loan, 1);
    AllotmentGrant grant = describe(loan);
    if (tokens >= usable) {
        grant.retryAfter = {};
    }
    grant.team = demand.team;
    grant.tokens = tokens;
    grant.share = granted;
    grant.ownBurst = ownBurst(granted);
    return grant;
}

void TeamLedger::release(const HostAddress &holder)
{
    const auto found = loans_.find(holder);
    if (found == loans_.end()) {
        return;
    }
    count(found->second, -1);
    loans_.erase(found);
}

void TeamLedger::settle(const View &view, TimePoint now)
{
    const RequestRate before = lendableRate();
    std::erase_if(loans_, [&](const auto &entry) { return now - entry.second.heardAt > AllotmentTerms::kReserveTime; });
    demand_ = usual_ = liveShare_ = silentShare_ = tokensOut_ = 0;
    for (auto &[holder, loan] : loans_) {
        loan.isSilent = now - loan.heardAt > AllotmentTerms::kSilentAfter;
        if (now - loan.heardAt > AllotmentTerms::kTokenLifetime) {
            loan.tokens = 0;
        }
        count(loan, 1);
    }
    const double all = view.isComplete ? 1 : view.all.held + foreignPart(view.all.coming, now, false);
    const double inTouch = view.isComplete ? 1 : view.inTouch.held + foreignPart(view.inTouch.coming, now, true);
    lendablePart_ = std::clamp(all - silentShare_, 0.0, 1.0);
    sharablePart_ = std::min(lendablePart_, inTouch);
    refill(std::min(before, lendableRate()), now);
}

/**
 * What holders had from other lenders when they came, and may still use together: up to @p limit, which is what the
 * others leave for them, and beyond it for a short time. With @p isInTouch what may be granted in shares of it.
 */
double TeamLedger::foreignPart(double limit, TimePoint now, bool isInTouch) const
{
    double beyond = 0;
    double within = 0;
    for (const auto &[holder, loan] : loans_) {
        const Millis age = now - loan.contactSince;
        if (age >= AllotmentTerms::kOwnPartAfter || (isInTouch && loan.isSilent)) {
            continue;
        }
        const bool mayExceed = !isInTouch && age < AllotmentTerms::kForeignShareTime;
        (mayExceed ? beyond : within) += loan.foreignShare;
    }
    return beyond + std::clamp(limit - beyond, 0.0, within);
}

void TeamLedger::refill(RequestRate rate, TimePoint now)
{
    const double seconds = (now - refilledAt_).value / kMillisPerSecond;
    refilledAt_ = now;
    const double limit = std::max(0.0, burst() - tokensOut_);
    bucket_ = std::min(bucket_ + rate.perSecond * seconds, limit);
}

void TeamLedger::count(const Loan &loan, double sign)
{
    tokensOut_ += sign * loan.tokens;
    if (loan.isSilent) {
        silentShare_ += sign * loan.share;
        return;
    }
    liveShare_ += sign * loan.share;
    demand_ += sign * loan.demand;
    usual_ += sign * loan.usual;
}

double TeamLedger::ownBurst(double share) const
{
    constexpr double kMostBurst = 0.3;
    constexpr double kMostSeconds = 0.4;
    constexpr double kTokens = 8;
    const double beyond = std::min(kMostBurst * allotment_.burst, kMostSeconds * allotment_.rate.perSecond);
    return share * (kOwnPart * allotment_.burst + beyond + kTokens);
}

/** Most tokens that can be lent and at holders together: at least a whole one, if there are any. */
double TeamLedger::burst() const
{
    return lendablePart_ > 0 ? std::max(1.0, lendablePart_ * ((1 - kOwnPart) * allotment_.burst + kSlack)) : 0;
}

RequestRate TeamLedger::lendableRate() const
{
    return {allotment_.rate.perSecond * lendablePart_};
}

/** Tokens that the holder can use, and that don't make it keep more of the burst than its part. */
double TeamLedger::usableTokens(const AllotmentDemand &demand) const
{
    const double part = demand_ > 0 ? demand.demand.perSecond / demand_ : 1;
    double keep = std::max(1.0, kLentBurst * burst() * part - demand.stock);
    if (!isOverloaded()) {
        keep = std::min(keep, kAheadPart * bucket_);
    }
    return std::min(demand.wanted, std::max(demand.waiting, keep));
}

bool TeamLedger::isOverloaded() const
{
    return demand_ > lendableRate().perSecond * kOverload;
}

/** Seconds in which tokens are divided once among all holders: less than those in which the burst fills. */
double TeamLedger::divisionTime() const
{
    constexpr double kFillPart = 0.5;
    const double interval = AllotmentTerms::kReportInterval.value / kMillisPerSecond;
    return std::min(interval, kFillPart * burst() / allotment_.rate.perSecond);
}

/** Most tokens that the holder may get now. */
double TeamLedger::grantLimit(const AllotmentDemand &demand, Millis sinceLast) const
{
    if (!isOverloaded()) {
        return bucket_;
    }
    // A holder that reports more often than others gets no more than they.
    const double round = divisionTime();
    const double due = std::min(1.0, sinceLast.value / kMillisPerSecond / round);
    const double part = bucket_ * due * demand.demand.perSecond / demand_;
    const double spare = bucket_ - lendableRate().perSecond * round;
    return std::max(part, spare);
}

/** Share for a holder in proportion to its usual demand. @p loan is not counted. */
double TeamLedger::grantShare(const Loan &loan) const
{
    const double all = usual_ + loan.usual;
    if (all <= 0) {
        return 0;
    }
    const double target = kSharedPart * sharablePart_ * loan.usual / all;
    return std::clamp(sharablePart_ - liveShare_, 0.0, std::max(0.0, target));
}

AllotmentGrant TeamLedger::describe(const Loan &loan) const
{
    AllotmentGrant grant;
    grant.usedShare = std::min(1.0, demand_ / allotment_.rate.perSecond);
    const double part = demand_ > 0 ? loan.demand / demand_ : 1;
    const double rate = lendableRate().perSecond * part;
    const Millis perToken = rate > 0 ? Millis{kMillisPerSecond / rate} : kLongestRetry;
    grant.retryAfter = std::clamp(perToken, kShortestRetry, kLongestRetry);
    return grant;
}

} // namespace Hibiscus
