#ifndef HIBISCUS_DAEMON_CALLMESSAGE_H
#define HIBISCUS_DAEMON_CALLMESSAGE_H

#include "core/clock.h"
#include "daemon/callrequest.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Hibiscus
{

/** Kind of a call message on the peers listener. */
enum class CallPurpose {
    Execute, ///< Run the attempt on the local backend server.
    Coordinate, ///< Act as the arbiter of the request's identity and run the call to its end.
};

struct CallMessage {
    CallPurpose purpose = CallPurpose::Execute;
    AttemptId attempt;
    Incarnation incarnation; ///< Process that the attempt is meant for; another one must not run it.
    HostAddress sender; ///< Peers listener of the daemon that sends the message.
    ServerName server; ///< Backend server that the attempt is meant for; another one must not run it.
    CallRequest call{};
    /** That the server named to the sender, for a daemon that was restarted and has not heard from it yet. */
    std::optional<RequestRate> rateLimit{};
};

/** Service and path of a target of the form /svc/<service>/<path>; empty if it has another form. */
struct ServiceTarget {
    ServiceName service;
    std::string path;
};
std::optional<ServiceTarget> parseServiceTarget(const std::string &target);

/** Headers of a caller's or backend server's message without those of hibiscusdale or of the connection. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** Encodes a call for another daemon. The deadline is sent as remaining time, so the hosts' clocks need not agree. */
HttpRequest encodeCall(const CallMessage &message, const Clock &clock);
/** Encodes @p message with @p call and @p attemptBudget instead of its own call, which avoids a copy of the call. */
HttpRequest encodeCall(const CallMessage &message, const CallRequest &call, int attemptBudget, const Clock &clock);
/** Reads the message that encodeCall() wrote. Errors: BadRequest if a field is missing or out of range. */
Result<CallMessage> decodeCall(HttpRequest request, const Clock &clock);

/** Parses all of @p text as an unsigned integer in @p base; empty if it is not one or exceeds 64 bits. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base = 10);

/** Result of a call that ended without a backend server's response. If the outcome of @p kind is NotRun, the call has
 * used no attempts; otherwise their number is unknown. */
CallResult failedResult(ErrorKind kind);

/** HTTP response for a result, sent to another daemon or to a caller. Empty optional members are left out. */
HttpResponse encodeResult(CallResult result);

/** Reads a daemon's response. If its outcome is missing or contradicts its error, the result is ErrorKind::Internal,
 * whose outcome is unknown. */
CallResult decodeResult(HttpResponse response);

} // namespace Hibiscus

#endif
