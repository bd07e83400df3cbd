#ifndef HIBISCUS_DAEMON_CALLREQUEST_H
#define HIBISCUS_DAEMON_CALLREQUEST_H

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/millis.h"
#include "execution/requestidentity.h"
#include "http/httpmessage.h"

#include <functional>
#include <optional>
#include <string>

namespace Hibiscus
{

/** What the whole call tree of one root request has in common. */
struct RootContext {
    ClassName requestClass;
    int rank = 0; ///< Rank of the class; 0 is the least important.
    int bucket = 0; ///< 0 to 127, from the hash of the root's identity.
    std::optional<RequestIdentity> identity; ///< Empty if the caller holds none.
};

/** One call to a service, as its coordinator sees it. */
struct CallRequest {
    ServiceName service;
    std::string method;
    std::string path; ///< Target below /svc/<service>, with its leading slash.
    HttpHeaders headers; ///< End-to-end fields, without the fields of hibiscusdale.
    std::string body;

    RootContext root;
    std::string callPath; ///< Keys of the calls from the root to this one, separated by '/'; empty for the root.
    bool repeatable = true;
    TimePoint deadline;
    int allowance = 0; ///< Attempts that this call and all calls below it may use.
    Signature signature;
};

/** End of a call: a backend server's whole answer, or the reason why there is none. */
struct CallAnswer {
    tl::expected<HttpResponse, ErrorKind> response = tl::unexpected(ErrorKind::Internal);
    std::optional<int> spent; ///< Attempts used by the call and all calls below it; empty if not known.
    std::optional<int> level; ///< Lowest level that the executing daemon admits.
    std::optional<int> subtreeLevel; ///< Lowest level that all calls below this one were admitted at.
    std::optional<int> headroom; ///< Free capacity at the executing daemon.

    Outcome outcome() const
    {
        return response ? Outcome::Completed : answerFor(response.error()).outcome;
    }
};

using CallCallback = std::function<void(CallAnswer)>;

} // namespace Hibiscus

#endif
