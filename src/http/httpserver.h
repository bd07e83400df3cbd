#ifndef HIBISCUS_HTTP_HTTPSERVER_H
#define HIBISCUS_HTTP_HTTPSERVER_H

#include "core/ids.h"
#include "core/millis.h"
#include "http/clientbudget.h"
#include "http/httphandler.h"

#include <cstddef>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

namespace Hibiscus
{

struct HttpServerSettings {
    HostAddress address; ///< Port 0 lets the system choose a free port.
    std::size_t maximumBodyBytes = 16U << 20U;
    std::size_t maximumHeaderBytes = 64U << 10U;
    std::size_t maximumConnections = 4096; ///< Without a budget.
    Millis idleTimeout{60000}; ///< A connection without traffic for this long is closed.
    Millis headerTimeout{10000}; ///< Limit for receiving the header fields of a request, from its first byte.
    Millis requestTimeout{120000}; ///< A request without a response for this long has its connection closed.
    ClientBudget *budget = nullptr; ///< Bounds what the connections hold together; must outlive the server.
    ClientShare share = ClientShare::Callers;
};

/** The part of the settings that may change while the server is open. */
struct HttpServerLimits {
    std::size_t headerBytes;
    std::size_t bodyBytes;
    Millis headerTimeout;
    Millis idleTimeout;
};

/** HTTP/1.1 server on a shared io_context. Passes complete requests to a handler. */
class HttpServer
{
public:
    HttpServer(asio::io_context &context, HttpServerSettings settings, HttpHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Binds and starts accepting connections. Returns the bound address, or the system's error message. */
    tl::expected<HostAddress, std::string> open();
    /** Sets the limits for requests that begin from now on. To be called on the thread of the connections. */
    void setLimits(const HttpServerLimits &limits);
    ClientShare share() const;
    /** Stops accepting connections. Open ones end with their idle timeout or with the process. */
    void close();
    /** Closes connections without a request in progress. The others accept no further one, and close after their last
     * response. */
    void closeIdleConnections();
    /** Connections that are open, or closed on this side only while their clients read the last response. */
    std::size_t connectionCount() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
