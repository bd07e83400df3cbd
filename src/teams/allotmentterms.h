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
/** Time for which a new lender lends no more than what holders show that they hold. */
inline constexpr Millis kTakeOver{3000};

} // namespace AllotmentTerms

} // namespace Hibiscus

#endif
