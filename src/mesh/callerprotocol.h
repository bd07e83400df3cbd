#ifndef HIBISCUS_MESH_CALLERPROTOCOL_H
#define HIBISCUS_MESH_CALLERPROTOCOL_H

#include "daemon/callrequest.h"
#include "teams/credential.h"

#include <optional>
#include <string>

namespace Hibiscus
{

/** Properties of a caller's request that the caller protocol carries in addition to method, target and body. */
struct CallerRequestMetadata {
    std::string requestId; ///< Of this send by the caller; empty if the request states none.
    std::string parentId; ///< Id of the request for which the local backend server makes this one; empty if none.
    std::optional<Millis> timeout; ///< Time for which the caller waits for the response; empty if not stated.
    Credential credential{}; ///< Secret; cleared once the caller is identified.
};

/** What a backend server learns of a caller. */
struct CallerDescription {
    ServiceName service; ///< Service that makes the call.
    std::optional<TeamName> team; ///< Team that the call belongs to; empty for nested calls and on public routes.
    bool hidesCredential = false; ///< Callers need keys, so no server may see what might be one.
};

/** Format in which callers send requests and receive responses. */
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /** Reads the metadata of a request. Errors: BadRequest. */
    virtual Result<CallerRequestMetadata> decode(const HttpRequest &request) const = 0;

    /** Header fields of the caller's request that are forwarded to the backend server, with those that tell it of
     * @p caller, whatever the request says. */
    virtual HttpHeaders forwardedHeaders(const HttpRequest &request, const CallerDescription &caller) const = 0;

    /** Response to the caller of the request with @p metadata. */
    virtual HttpResponse encode(const CallerRequestMetadata &metadata, CallResult result) const = 0;
};

} // namespace Hibiscus

#endif
