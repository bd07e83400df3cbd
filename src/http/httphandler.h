#ifndef HIBISCUS_HTTP_HTTPHANDLER_H
#define HIBISCUS_HTTP_HTTPHANDLER_H

#include "http/httpmessage.h"

#include <cstdint>
#include <functional>

namespace Hibiscus
{

/** Sends the answer of one request. May be called from any thread, once. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Receives the requests of an HttpServer. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /** Takes a whole request. Called by a worker; must not block. */
    virtual void handle(HttpRequest request, HttpResponder respond) = 0;

    /** The connection with the id HttpRequest::connection has ended, also while a request of it is without an answer.
     * Called by a worker; must not block. */
    virtual void connectionClosed(std::uint64_t connection);
};

inline void HttpHandler::connectionClosed(std::uint64_t /*connection*/)
{
}

} // namespace Hibiscus

#endif
