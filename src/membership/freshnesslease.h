#ifndef HIBISCUS_MEMBERSHIP_FRESHNESSLEASE_H
#define HIBISCUS_MEMBERSHIP_FRESHNESSLEASE_H

#include "core/ids.h"
#include "core/millis.h"

namespace Hibiscus
{

/**
 * Right of this process to serve under its adopted configuration for a limited time. A grant that was given for a
 * newer version than the adopted one is held back until that version is adopted.
 */
class FreshnessLease
{
public:
    /** Rules (a) and (b): full length from the time the read or the round was sent, under @p version. */
    void grantFrom(TimePoint sentAt, ConfigVersion version, TimePoint now);

    /** Rule (c): the remainder of another process's lease, from the time the request for it was sent. */
    void grantRemainder(TimePoint sentAt, Millis remaining, ConfigVersion version, TimePoint now);

    /** This process now serves under @p version. Lower versions than the adopted one are ignored. */
    void adopt(ConfigVersion version, TimePoint now);

    /** The process was stopped for a while: it counts as just started. */
    void noteGap(TimePoint now);

    /** Ends the lease for good; used by a process that was replaced under its name. */
    void revoke();

    bool valid(TimePoint now) const;
    Millis remaining(TimePoint now) const;
    TimePoint expiry() const;
    ConfigVersion adopted() const;

    /** Fresh without a gap for L plus 10%, so that the process may count in a majority. */
    bool counts(TimePoint now) const;

private:
    void extend(TimePoint expiry, TimePoint now);

    ConfigVersion adopted_;
    TimePoint expiry_{0};
    TimePoint freshSince_{0};
    ConfigVersion heldVersion_; ///< Version of the grant that waits for its adoption.
    TimePoint heldExpiry_{0};
    bool revoked_ = false;
};

} // namespace Hibiscus

#endif
