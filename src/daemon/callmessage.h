#ifndef HIBISCUS_DAEMON_CALLMESSAGE_H
#define HIBISCUS_DAEMON_CALLMESSAGE_H

#include "core/clock.h"
#include "daemon/callrequest.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Hibiscus
{

/** What a message on the peers listener asks for. */
enum class CallPurpose {
    Execute, ///< Run the attempt on the local backend server.
    Coordinate, ///< Act as the arbiter of the request's identity and see the call through.
};

struct CallMessage {
    CallPurpose purpose = CallPurpose::Execute;
    AttemptId attempt;
    Incarnation incarnation; ///< Process that the attempt is meant for; another one must not run it.
    HostAddress sender; ///< Peers listener of the daemon that sends the message.
    ServerName server; ///< Backend server that the attempt is meant for; another one must not run it.
    CallRequest call;
};

/** Service and path of a target of the form /svc/<service>/<path>; empty if it has another form. */
struct ServiceTarget {
    ServiceName service;
    std::string path;
};
std::optional<ServiceTarget> parseServiceTarget(const std::string &target);

/** Headers of a caller's or backend server's message without those of hibiscusdale or of the connection. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** Message between daemons for a call. The deadline travels as remaining time, so clocks need not agree. */
HttpRequest encodeCall(const CallMessage &message, const Clock &clock);
/** The same for a message whose request is @p call with @p attemptBudget, which spares a copy of it. */
HttpRequest encodeCall(const CallMessage &message, const CallRequest &call, int attemptBudget, const Clock &clock);
Result<CallMessage> decodeCall(HttpRequest request, const Clock &clock);

/** Whole decimal number in @p text, or of another @p base; empty if it is anything else. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base = 10);

/** Call that ended without a backend server's answer. One that did not run has used no attempts. */
CallResult failedResult(ErrorKind kind);

/** Answer between daemons, and, without the hints, to callers. */
HttpResponse encodeResult(CallResult answer);

/** Reads a daemon's answer. An answer without a valid outcome counts as ErrorKind::Internal, outcome unknown. */
CallResult decodeResult(HttpResponse response);

} // namespace Hibiscus

#endif
