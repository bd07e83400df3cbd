#ifndef HIBISCUS_TEAMS_ALLOTMENTTERMS_H
#define HIBISCUS_TEAMS_ALLOTMENTTERMS_H

#include "core/millis.h"

namespace Hibiscus
{

/** Times that holders and lenders of allotments must agree on. */
namespace AllotmentTerms
{

/** Time between two reports of a holder. */
inline constexpr Millis kReportInterval{400};
/** The lender reserves the share of a holder that it hasn't heard for this long. */
inline constexpr Millis kSilentAfter{500};
/** A holder begins to use its share this long after its last report that was answered: later than the lender, which
 * hears the report after it was sent, begins to reserve it. */
inline constexpr Millis kAloneAfter{600};
/** Tokens are void this long after the holder's last report that was answered. */
inline constexpr Millis kTokenLifetime{1500};
/** A daemon that holds nothing reports this often, so that its lender knows that it is in touch. */
inline constexpr Millis kContactInterval{1000};
/** A holder's share is void this long after its last report that was answered. */
inline constexpr Millis kShareLifetime{3000};
/** After a longer silence a daemon may have reported to another lender. A daemon takes longer than this from its last
 * answered report to one lender, by way of another lender, to the next report to the first. */
inline constexpr Millis kContactGap{1500};
/** A lender no longer counts on a daemon that it hasn't heard for this long when it grants shares. */
inline constexpr Millis kOutOfTouchAfter{2000};
/** A new lender honors the share that a holder got from another one for this long. */
inline constexpr Millis kForeignShareTime{2000};
/** A lender reserves the share of a silent holder for this long: as long as the holder, and then its next lender, may
 * use it. */
inline constexpr Millis kReserveTime = kShareLifetime + kForeignShareTime;
/** A lender lends a daemon's part of the allotment from this time after its first report on: later than any other
 * lender that has heard the daemon has stopped to. */
inline constexpr Millis kOwnPartAfter{6000};

} // namespace AllotmentTerms

} // namespace Hibiscus

#endif
