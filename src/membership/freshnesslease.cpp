#include "membership/freshnesslease.h"

#include "membership/membershiplimits.h"

#include <algorithm>

namespace Hibiscus
{

void FreshnessLease::grantFrom(TimePoint sentAt, ConfigVersion version, TimePoint now)
{
    grantRemainder(sentAt, kLeaseLength, version, now);
}

void FreshnessLease::grantRemainder(TimePoint sentAt, Millis remaining, ConfigVersion version, TimePoint now)
{
    if (sentAt > now) {
        return;
    }
    // No lease is longer than L; a longer remainder could only come from a faulty or hostile peer.
    const TimePoint expiry = sentAt + std::min(remaining, kLeaseLength);
    if (version <= adopted_) {
        extend(expiry, now);
    } else if (version > heldVersion_) {
        heldVersion_ = version;
        heldExpiry_ = expiry;
    } else if (version == heldVersion_) {
        heldExpiry_ = std::max(heldExpiry_, expiry);
    }
}

void FreshnessLease::adopt(ConfigVersion version, TimePoint now)
{
    adopted_ = std::max(adopted_, version);
    if (heldVersion_ <= adopted_) {
        extend(heldExpiry_, now);
    }
}

void FreshnessLease::extend(TimePoint expiry, TimePoint now)
{
    if (expiry <= now || expiry <= expiry_) {
        return;
    }
    if (now >= expiry_) {
        freshSince_ = now;
    }
    expiry_ = expiry;
}

void FreshnessLease::noteGap(TimePoint now)
{
    freshSince_ = now;
}

void FreshnessLease::revoke()
{
    revoked_ = true;
}

bool FreshnessLease::valid(TimePoint now) const
{
    return !revoked_ && adopted_ > ConfigVersion() && now < expiry_;
}

Millis FreshnessLease::remaining(TimePoint now) const
{
    return valid(now) ? expiry_ - now : Millis{0};
}

TimePoint FreshnessLease::expiry() const
{
    return expiry_;
}

ConfigVersion FreshnessLease::adopted() const
{
    return adopted_;
}

bool FreshnessLease::counts(TimePoint now) const
{
    return valid(now) && now - freshSince_ >= kSettleTime;
}

} // namespace Hibiscus
