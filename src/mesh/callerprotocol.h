#ifndef HIBISCUS_MESH_CALLERPROTOCOL_H
#define HIBISCUS_MESH_CALLERPROTOCOL_H

#include "daemon/callrequest.h"

#include <optional>
#include <string>

namespace Hibiscus
{

/** What a caller's message says about its request, apart from method, target and body. */
struct CallerTerms {
    std::string requestId; ///< Of this send by the caller; empty if it states none.
    std::string parentId; ///< Request for which the local backend server makes this one; empty if it names none.
    std::optional<Millis> timeout; ///< Time that the caller will wait.
};

/** How callers put requests and get answers. */
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /** Reads the terms of a request. Errors: BadRequest. */
    virtual Result<CallerTerms> decode(const HttpRequest &request) const = 0;

    /** Fields that the backend server gets from the caller's, as a call of service @p caller. */
    virtual HttpHeaders forwardedHeaders(const HttpRequest &request, const ServiceName &caller) const = 0;

    /** Answer to a caller. */
    virtual HttpResponse encode(const CallerTerms &terms, CallResult answer) const = 0;
};

} // namespace Hibiscus

#endif
