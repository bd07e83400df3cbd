#ifndef HIBISCUS_CALLER_ATTEMPTRESULT_H
#define HIBISCUS_CALLER_ATTEMPTRESULT_H

#include "http/httpclient.h"

#include <string>

namespace Hibiscus
{

/** Outcome of one attempt as the caller sees it. */
enum class CallerOutcome {
    Completed, ///< The complete response to this request, with a status of 200 to 299.
    Failed, ///< A response of a backend server with another status.
    Wrong, ///< A response that is incomplete or belongs to another request.
    NotRun, ///< A response which says that the request was not run.
    Unknown, ///< No response, or one without a known outcome.
    Unreachable, ///< The request could not be sent.
    IdentityRequired, ///< The request must be sent again with the identity in the response.
};

/** Outcome of an attempt and the identity in its response. */
struct AttemptResult {
    CallerOutcome outcome = CallerOutcome::Unknown;
    std::string identity; ///< Value of the Hibiscus-Request-Id header, if any.
};

/** Parts of a sent request that its response is checked against. */
struct SentRequest {
    std::string tag;
    std::string body;
    bool layered = true; ///< Sent to a daemon, whose responses must state an outcome.
};

/** Checks the result of an attempt against its request. */
AttemptResult evaluateResult(const HttpResult &result, const SentRequest &sent);

} // namespace Hibiscus

#endif
