#include "teams/teamstock.h"

#include "teams/allotmentterms.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

constexpr double kMillisPerSecond = 1000;
/** A holder wants tokens for the requests of this time, so that they last until the answer to a late report. */
constexpr Millis kStockTime{600};
/** Tokens beyond those of this time are returned. */
constexpr Millis kLongestStockTime{900};
/** Tokens for requests that come closer together than on average. */
constexpr double kSpread = 1;
/** A holder that expects fewer requests than this in kStockTime asks for a token only when a request is there: tokens
 * at many such holders would be missing elsewhere. */
constexpr double kFewestExpected = 1.2;
/** It keeps none if it expects fewer than this. */
constexpr double kFewestKept = 0.8;
constexpr Millis kDemandTime{1000}; ///< Over which the demand is smoothed.
constexpr Millis kUsualTime{10000}; ///< Over which the usual demand is smoothed.
constexpr Millis kIdleAfter{15000};
/** Time in contact with the lender after which what was used alone is there again. */
constexpr Millis kOwnRefillTime{10000};
constexpr Millis kShortestRetry{50};
constexpr Millis kLongestRetry{10000};

double seconds(Millis duration)
{
    return duration.value / kMillisPerSecond;
}

} // namespace

TeamStock::TeamStock(const Allotment &allotment, double rounding, TimePoint now)
    : allotment_(allotment)
    , rounding_(rounding)
    , ownTokensAt_(now)
    , answeredAt_(now)
    , shortUntil_(now)
    , demandAt_(now)
    , lastRequest_(now)
{
}

void TeamStock::setAllotment(const Allotment &allotment)
{
    if (allotment == allotment_) {
        return;
    }
    allotment_ = allotment;
    tokens_ = std::min(tokens_, allotment.burst);
    ownTokens_ = std::min(ownTokens_, allotment.burst);
    shortUntil_ = TimePoint{};
}

void TeamStock::recordRequest(TimePoint now)
{
    decayDemand(now);
    demand_ += kMillisPerSecond / kDemandTime.value;
    usual_ += kMillisPerSecond / kUsualTime.value;
    lastRequest_ = now;
}

bool TeamStock::take(TimePoint now)
{
    saveUp(now);
    expire(now);
    if (tokens_ >= 1) {
        --tokens_;
        return true;
    }
    if (!isAlone(now) || ownTokens_ + rounding_ < 1) {
        return false;
    }
    --ownTokens_;
    return true;
}

void TeamStock::giveBack()
{
    ++tokens_;
}

Millis TeamStock::retryAfter(TimePoint now) const
{
    const double ownRate = share_ * allotment_.rate.perSecond;
    if (!isAlone(now)) {
        return std::max({kShortestRetry, retryAfter_, shortUntil_ - now});
    }
    return ownRate > 0 ? std::min(kLongestRetry, Millis{(1 - rounding_ - ownTokens_) * kMillisPerSecond / ownRate})
                       : kLongestRetry;
}

bool TeamStock::isIdle(TimePoint now) const
{
    return now - lastRequest_ > kIdleAfter;
}

AllotmentDemand TeamStock::report(const TeamName &team, std::size_t waiting, TimePoint now)
{
    expire(now);
    decayDemand(now);
    const double expected = demand_ * seconds(kStockTime);
    const double ahead = expected < kFewestExpected ? 0 : expected + kSpread * std::sqrt(expected);
    const double most = expected < kFewestKept ? 0 : demand_ * seconds(kLongestStockTime) + 1;
    const double returned = std::max(0.0, tokens_ - most);
    tokens_ -= returned;
    const double wanted = std::max(0.0, ahead + static_cast<double>(waiting) - tokens_);
    return {team,  RequestRate{demand_}, RequestRate{usual_}, tokens_, static_cast<double>(waiting), wanted, returned,
            share_};
}

void TeamStock::apply(const AllotmentGrant &grant, TimePoint sentAt, TimePoint now)
{
    saveUp(now);
    expire(now);
    if (share_ <= 0) {
        ownTokens_ = grant.ownBurst;
    }
    tokens_ += grant.tokens;
    share_ = grant.share;
    ownBurst_ = grant.ownBurst;
    usedShare_ = grant.usedShare;
    retryAfter_ = grant.retryAfter;
    answeredAt_ = sentAt;
    isKnown_ = true;
    shortUntil_ = now + std::min(grant.retryAfter, AllotmentTerms::kReportInterval);
}

void TeamStock::applyUnknown()
{
    isKnown_ = false;
}

void TeamStock::expire(TimePoint now)
{
    if (now - answeredAt_ > AllotmentTerms::kTokenLifetime) {
        tokens_ = 0;
    }
    if (now - answeredAt_ > AllotmentTerms::kShareLifetime) {
        share_ = ownBurst_ = ownTokens_ = 0;
    }
}

bool TeamStock::isAlone(TimePoint now) const
{
    return now - answeredAt_ > AllotmentTerms::kAloneAfter;
}

void TeamStock::saveUp(TimePoint now)
{
    const TimePoint aloneSince = answeredAt_ + AllotmentTerms::kAloneAfter;
    const Millis inTouch = std::max(Millis{0}, std::min(now, aloneSince) - ownTokensAt_);
    const Millis alone = std::max(Millis{0}, now - std::max(ownTokensAt_, aloneSince));
    ownTokensAt_ = now;
    if (ownTokens_ < ownBurst_) {
        ownTokens_ = std::min(ownBurst_, ownTokens_ + ownBurst_ * (inTouch.value / kOwnRefillTime.value));
    }
    // A part of a token must be able to grow to a whole one.
    const double most = std::max(ownTokens_, std::max(1.0, ownBurst_));
    ownTokens_ = std::min(most, ownTokens_ + share_ * allotment_.rate.perSecond * seconds(alone));
}

void TeamStock::decayDemand(TimePoint now)
{
    const double elapsed = (now - demandAt_).value;
    demand_ *= std::exp(-elapsed / kDemandTime.value);
    usual_ *= std::exp(-elapsed / kUsualTime.value);
    demandAt_ = now;
}

} // namespace Hibiscus
