#ifndef HIBISCUS_DAEMON_BACKENDPROTOCOL_H
#define HIBISCUS_DAEMON_BACKENDPROTOCOL_H

#include "daemon/callmessage.h"
#include "daemon/servernotice.h"

#include <string>

namespace Hibiscus
{

/** Encodes requests for the local backend server and interprets its responses. */
class BackendProtocol
{
public:
    virtual ~BackendProtocol() = default;

    /** Encodes a call for the server; @p remaining is the time that it may take. */
    virtual HttpRequest encode(const CallMessage &message, Millis remaining) const = 0;

    /** Header field that the server's response repeats from the request; empty if there is none. */
    virtual std::string echoedField() const = 0;

    /** The server's response as the caller gets it, or the error kind if the caller must not get it. */
    virtual Result<HttpResponse> decode(const CallMessage &message, HttpResponse response) const = 0;

    /** What the server says of itself in any response, also in one to a health check. */
    virtual ServerNotice readNotice(const HttpResponse &response) const = 0;
};

} // namespace Hibiscus

#endif
