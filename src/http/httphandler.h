#ifndef HIBISCUS_HTTP_HTTPHANDLER_H
#define HIBISCUS_HTTP_HTTPHANDLER_H

#include "http/httpmessage.h"

#include <cstdint>
#include <functional>

namespace Hibiscus
{

/** Sends the response to one request. May be called once, from any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Receives the requests of an HttpServer. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /** Handles a complete request. Called on a thread of the io_context; must not block. */
    virtual void handle(HttpRequest request, HttpResponder respond) = 0;

    /** Called when the connection with the id HttpRequest::connection has closed, even while a request of it has no
     * response yet. Called on a thread of the io_context; must not block. */
    virtual void connectionClosed(std::uint64_t connection);
};

inline void HttpHandler::connectionClosed(std::uint64_t /*connection*/)
{
}

} // namespace Hibiscus

#endif
