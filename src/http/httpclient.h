#ifndef HIBISCUS_HTTP_HTTPCLIENT_H
#define HIBISCUS_HTTP_HTTPCLIENT_H

#include "core/ids.h"
#include "core/millis.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

namespace Hibiscus
{

/** Why a request has no whole answer. */
enum class TransportError {
    ConnectFailed, ///< No connection; nothing was sent.
    NotWritten, ///< The connection failed before the whole message was handed to the system.
    LostAfterWrite, ///< The connection failed after the whole message was written.
    MalformedResponse, ///< The answer isn't valid HTTP or ended early.
    TimedOut, ///< No whole answer in time, though the whole message was written.
};

struct HttpCallOptions {
    Millis connectTimeout{1000};
    Millis responseTimeout{30000};
    bool freshConnection = false; ///< Don't reuse an idle connection, which the other side may be closing.
    std::size_t maximumBodyBytes = 16U << 20U;
    /** Field that the answer repeats from the request. An answer with another value belongs to an earlier request of
     * the connection: it is dropped and the next one is awaited. */
    std::string echoedField{};
};

using HttpResult = tl::expected<HttpResponse, TransportError>;
using HttpCallback = std::function<void(HttpResult)>;

/** Cancels one call by closing its connection; does nothing once the call has ended. */
class HttpCall
{
public:
    virtual ~HttpCall() = default;
    virtual void cancel() = 0;
    /** Whether the other side may have the whole message. */
    virtual bool isWritten() const = 0;
};

/**
 * HTTP/1.1 client with a pool of kept-alive connections for each address.
 *
 * A connection carries one request at a time and is closed after any error, so that a late answer can't be taken for
 * the answer of another request.
 */
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends @p request and calls @p callback once, on a worker. */
    std::shared_ptr<HttpCall> send(const HostAddress &address, HttpRequest request, const HttpCallOptions &options,
                                   HttpCallback callback);
    /** Closes the idle connections to a server that can't be reached, so that nothing more is written to them. */
    void closeIdle(const HostAddress &address);
    /** Number of open idle connections. */
    std::size_t idleConnections() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
