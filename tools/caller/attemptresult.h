#ifndef HIBISCUS_CALLER_ATTEMPTRESULT_H
#define HIBISCUS_CALLER_ATTEMPTRESULT_H

#include "http/httpclient.h"

#include <string>

namespace Hibiscus
{

/** What a caller knows after one attempt. */
enum class Verdict {
    Completed, ///< The whole answer to its own request, with a status of success.
    Failed, ///< A server's answer with another status.
    Wrong, ///< An answer that belongs to another request or isn't whole.
    NotRun, ///< An answer that says that the request was not run.
    Unknown, ///< No answer, or one that says that the outcome is unknown.
    Unreachable, ///< The request could not be sent.
    IdentityRequired, ///< The request must be sent again with the identity in the answer.
};

struct AttemptResult {
    Verdict verdict = Verdict::Unknown;
    std::string identity; ///< Value of the Hibiscus-Request-Id header, if any.
};

/** Request as far as its answer is checked against it. */
struct SentRequest {
    std::string tag;
    std::string body;
    bool layered = true; ///< Sent to a daemon, whose answers must state an outcome.
};

AttemptResult judge(const HttpResult &result, const SentRequest &sent);

} // namespace Hibiscus

#endif
