#ifndef HIBISCUS_DAEMON_HEADERNAMES_H
#define HIBISCUS_DAEMON_HEADERNAMES_H

#include <string_view>

namespace Hibiscus::HeaderName
{

inline constexpr std::string_view kPrefix = "Hibiscus-";

inline constexpr std::string_view kRequestId = "Hibiscus-Request-Id";
inline constexpr std::string_view kOutcome = "Hibiscus-Outcome";
inline constexpr std::string_view kError = "Hibiscus-Error";
inline constexpr std::string_view kDeadline = "Hibiscus-Deadline-Ms";
inline constexpr std::string_view kContext = "Hibiscus-Context";
inline constexpr std::string_view kCallKey = "Hibiscus-Call-Key";
inline constexpr std::string_view kCallPath = "Hibiscus-Call-Path";
inline constexpr std::string_view kAttempt = "Hibiscus-Attempt";
inline constexpr std::string_view kClass = "Hibiscus-Class";
inline constexpr std::string_view kRank = "Hibiscus-Rank";
inline constexpr std::string_view kBucket = "Hibiscus-Bucket";
inline constexpr std::string_view kOnce = "Hibiscus-Once";
inline constexpr std::string_view kAttemptBudget = "Hibiscus-Allowance";
inline constexpr std::string_view kSpent = "Hibiscus-Spent";
inline constexpr std::string_view kLevel = "Hibiscus-Level";
inline constexpr std::string_view kSubtreeLevel = "Hibiscus-Subtree-Level";
inline constexpr std::string_view kHeadroom = "Hibiscus-Headroom";
inline constexpr std::string_view kLimit = "Hibiscus-Limit";
inline constexpr std::string_view kSlowdown = "Hibiscus-Slowdown";
inline constexpr std::string_view kFailing = "Hibiscus-Failing";
inline constexpr std::string_view kCoordinate = "Hibiscus-Coordinate";
inline constexpr std::string_view kIncarnation = "Hibiscus-Incarnation";
inline constexpr std::string_view kServer = "Hibiscus-Server";
inline constexpr std::string_view kRoute = "Hibiscus-Route";
inline constexpr std::string_view kCallerRequest = "Hibiscus-Caller-Request";
inline constexpr std::string_view kSender = "Hibiscus-Sender";
inline constexpr std::string_view kHost = "Hibiscus-Host";
inline constexpr std::string_view kRetryAfter = "Hibiscus-Retry-After-Ms";
inline constexpr std::string_view kNotRun = "Hibiscus-Not-Run";
inline constexpr std::string_view kRateLimit = "Hibiscus-Rate-Limit";
inline constexpr std::string_view kLeaving = "Hibiscus-Leaving";

} // namespace Hibiscus::HeaderName

#endif
