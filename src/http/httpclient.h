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

/** Why a request has no complete response. */
enum class TransportError {
    ConnectFailed, ///< No connection was established; nothing was sent.
    NotWritten, ///< The connection failed before the whole message was handed to the kernel.
    LostAfterWrite, ///< The connection failed after the whole message was written.
    MalformedResponse, ///< The response isn't valid HTTP or ended early.
    TimedOut, ///< No complete response in time, though the whole message was written.
};

struct HttpCallOptions {
    Millis connectTimeout{1000};
    Millis responseTimeout{30000};
    bool freshConnection = false; ///< Don't reuse an idle connection, which the server may be closing.
    std::size_t maximumBodyBytes = 16U << 20U;
    /** Header field that the response echoes from the request. A response with another value belongs to an earlier
     * request of the connection: it is dropped, and the client waits for the next one. */
    std::string echoedField{};
    /** Called with each interim response (1xx) and each response that is dropped because of its echoedField. */
    std::function<void(const HttpResponse &)> otherResponse{};
};

using HttpResult = tl::expected<HttpResponse, TransportError>;
using HttpCallback = std::function<void(HttpResult)>;

/** Cancels one call by closing its connection; does nothing once the call has ended. */
class HttpCall
{
public:
    virtual ~HttpCall() = default;
    virtual void cancel() = 0;
    /** Whether the server may have received the whole message. */
    virtual bool isWritten() const = 0;
};

/**
 * HTTP/1.1 client with a pool of kept-alive connections for each address.
 *
 * A connection carries one request at a time and is closed after any error, so that a late response can't be
 * taken for the response to another request.
 */
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends @p request and calls @p callback once, on a thread of the io_context. */
    std::shared_ptr<HttpCall> send(const HostAddress &address, HttpRequest request, const HttpCallOptions &options,
                                   HttpCallback callback);
    /** Closes the idle connections to @p address, so that no more requests are written to an unreachable server. */
    void closeIdle(const HostAddress &address);
    /** Number of open idle connections. */
    std::size_t idleConnections() const;
    /** Bytes of the unfinished bodies that are being received. */
    std::size_t receivedBytes() const;

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
