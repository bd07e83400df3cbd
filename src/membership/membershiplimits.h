#ifndef HIBISCUS_MEMBERSHIP_MEMBERSHIPLIMITS_H
#define HIBISCUS_MEMBERSHIP_MEMBERSHIPLIMITS_H

#include "core/millis.h"

#include <cstddef>

namespace Hibiscus
{

/** Time between two poll rounds. */
inline constexpr Millis kRoundLength{1000};
/** Shortest time between two rounds when an urgent change (draining, new configuration) starts one early. */
inline constexpr Millis kUrgentRoundSpacing{200};
/** Duration L of a freshness lease. */
inline constexpr Millis kLeaseLength{5000};
/** L plus 10%: the margin covers clocks that run at slightly different rates. */
inline constexpr Millis kSettleTime{5500};
/** A process whose ticks are further apart than this was stopped, and counts in majorities as if just started. */
inline constexpr Millis kPauseThreshold{1000};
/** Rounds without a poll after which the next member in hash order takes over, per rank. */
inline constexpr int kTakeoverRounds = 3;
/** A member not heard from for this many rounds is down. */
inline constexpr int kDownRounds = 5;
/** Above this number of members a poll is relayed. */
inline constexpr std::size_t kDirectPollLimit = 16;
/**
 * Number of relays over the square root of the number of members. Below 1 because a relay costs its agent a poll and a
 * report, a member costs its relay a poll only: at 150 members both stay under 10 KB/s.
 */
inline constexpr double kRelaysPerRoot = 0.7;
/** Time between two exchanges of views with another failure domain. */
inline constexpr Millis kExchangeInterval{2000};
/** Renewal of the platform's lease of the agent role: 3 writes a minute and domain. */
inline constexpr Millis kAgentRenewal{20000};
/** The agent role counts as free when its object in the platform has not changed for this long. */
inline constexpr Millis kAgentLeaseLength{60000};
/** Longest wait of one watch call. */
inline constexpr Millis kWatchTimeout{20000};
/** Shortest time between two reads of the configuration by one process. */
inline constexpr Millis kReadSpacing{500};
/** Wait before a failed platform call is repeated; doubles up to kPlatformBackoffLimit. */
inline constexpr Millis kPlatformBackoff{500};
inline constexpr Millis kPlatformBackoffLimit{8000};
/** A request without a response is given up after this time. */
inline constexpr Millis kRequestTimeout{3000};
/** A relay reports its group's responses after this time at the latest. */
inline constexpr Millis kRelayReportDelay{300};
/** Shortest time between two updates of a record that differ only in headroom; bounds the traffic of views. */
inline constexpr Millis kHeadroomInterval{60000};
/** Payload entries (crash reports) are kept and passed on for this long. */
inline constexpr Millis kEntryLifetime{600000};
/** Senders of polls that a process remembers: the agents of its domain and their relays. */
inline constexpr std::size_t kMaxOrigins = 256;
/** Rosters of older versions that are remembered until they are confirmed. */
inline constexpr std::size_t kMaxRosters = 16;
/** Rounds whose responses are still accepted; older ones couldn't extend a lease by a useful time. */
inline constexpr std::size_t kMaxRounds = 4;
/** A platform call without a result after this time (a watch: after its own timeout) counts as unavailable. */
inline constexpr Millis kPlatformCallTimeout{5000};
/** Upper bound of payload entries in a table; the oldest are dropped first. */
inline constexpr std::size_t kMaxEntries = 1024;

} // namespace Hibiscus

#endif
