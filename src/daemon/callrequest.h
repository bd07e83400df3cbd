#ifndef HIBISCUS_DAEMON_CALLREQUEST_H
#define HIBISCUS_DAEMON_CALLREQUEST_H

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/millis.h"
#include "core/requestrate.h"
#include "execution/requestidentity.h"
#include "http/httpmessage.h"

#include <functional>
#include <optional>
#include <string>

namespace Hibiscus
{

/** Properties shared by all calls in the tree of one root request. */
struct RootContext {
    ClassName requestClass;
    int rank = 0; ///< Rank of the class; 0 is the least important.
    int bucket = 0; ///< 0 to 127, from a hash of the root's identity or request id; see also fairBucket().
    std::optional<RequestIdentity> identity; ///< Empty if the caller holds none.
};

/** Limits that a route sets for its calls. A call over hibiscusdale's own interface has none, only its attempt budget.
 */
struct RouteSettings {
    int attempts = 1; ///< Backend servers that the request may reach.
    Millis latencyTarget; ///< Time after which a response is worth less to the caller.
};

/** One call to a service, as its coordinator sees it. */
struct CallRequest {
    ServiceName service;
    std::string method;
    std::string path; ///< Target below /svc/<service>, or of the route's request, with its leading slash.
    std::string host; ///< Host field for the backend server; empty for its address.
    HttpHeaders headers; ///< End-to-end fields, without the fields of hibiscusdale.
    HttpBody body;

    RootContext root;
    std::string requestId; ///< Id that the caller gave to this send; empty if it gave none.
    std::string route; ///< Name of the route; empty for hibiscusdale's own interface.
    std::string callPath; ///< Keys of the calls from the root to this one, separated by '/'; empty for the root.
    bool repeatable = true;
    TimePoint deadline;
    int attemptBudget = 0; ///< Attempts that this call and all calls below it may use.
    std::optional<RouteSettings> routeSettings; ///< Only known to the coordinator.
    Signature signature;

    /** Whether a backend server makes this call for a request that it already runs. */
    bool isNested() const
    {
        return !callPath.empty();
    }

    /** Key under which the durations of such calls are recorded in the latency trackers. */
    ServiceName durationKey() const
    {
        return route.empty() ? service : ServiceName(route);
    }
};

/** Result of a call: a backend server's complete response, or the reason why there is none. */
struct CallResult {
    tl::expected<HttpResponse, ErrorKind> response = tl::unexpected(ErrorKind::Internal);
    std::optional<int> spent; ///< Attempts used by the call and all calls below it; empty if not known.
    std::optional<int> level; ///< Lowest level that the executing daemon admits.
    std::optional<int> subtreeLevel; ///< Lowest level that the daemons of all calls below this one admit.
    std::optional<int> headroom; ///< Free capacity at the executing daemon.
    std::optional<int> limit; ///< Requests that the server of the executing daemon can run at a time.
    std::optional<int> slowdownPercent; ///< Own service time of that server in % of the usual; empty if not slow.
    std::optional<RequestRate> rateLimit; ///< Requests a second that this server takes; empty if it names no limit.
    bool serverLeaving = false; ///< This server drains, or is about to end.
    std::optional<int> failingPercent; ///< Share of the requests that it fails by itself; empty if it hardly fails.
    std::optional<Incarnation> incarnation; ///< Of the daemon that refused an attempt addressed to an earlier process.
    std::optional<Millis> retryAfter; ///< Time after which a refused call is worth sending again.

    Outcome outcome() const
    {
        return response ? Outcome::Completed : errorResponseFor(response.error()).outcome;
    }
};

using CallCallback = std::function<void(CallResult)>;

} // namespace Hibiscus

#endif
