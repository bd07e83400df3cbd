#ifndef HIBISCUS_HTTP_HTTPCLIENT_H
#define HIBISCUS_HTTP_HTTPCLIENT_H

#include "core/ids.h"
#include "core/millis.h"
#include "http/httpmessage.h"
#include "http/responsefault.h"
#include "http/sendprogress.h"

#include <cstddef>
#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

namespace Hibiscus
{

class ConnectionPool;

/** Why a request has no complete response. */
enum class TransportError {
    ConnectFailed, ///< No connection was established; nothing was sent.
    NotBegun, ///< The connection failed before the receiver could begin to work on the request.
    Lost, ///< The connection failed when the receiver may have begun.
    MalformedResponse, ///< The response isn't valid HTTP or ended early.
    TimedOut, ///< No complete response in time from a receiver that may have begun.
};

struct HttpCallOptions {
    Millis connectTimeout{1000};
    Millis responseTimeout{30000};
    bool renewsTimeout = false; ///< responseTimeout begins anew with each part of the response.
    /** When the receiver may begin. Only a daemon is known to wait for the whole message. */
    RequestStart start = RequestStart::AtHead;
    bool freshConnection = false; ///< Don't reuse an idle connection, which the server may be closing.
    bool singleUse = false; ///< The connection carries this request alone, and the server is told so.
    bool probesPeer = false; ///< Probe a silent connection, so that it ends when the server's host is gone.
    std::string localAddress{}; ///< Source IP address of a new connection; empty lets the system choose.
    std::size_t maximumBodyBytes = 16U << 20U;
    /** Header field that the response echoes from the request. A response with another value belongs to an earlier
     * request of the connection: it is dropped, and the client waits for the next one. */
    std::string echoedField{};
    /** Called with each interim response (1xx) and each response that is dropped because of its echoedField. */
    std::function<void(const HttpResponse &)> otherResponse{};
    /** Called before the result if there is no response because what the server sent is not a well-formed one. */
    std::function<void(ResponseFault)> brokenResponse{};
};

using HttpResult = tl::expected<HttpResponse, TransportError>;
using HttpCallback = std::function<void(HttpResult)>;

/** Cancels one call by closing its connection; does nothing once the call has ended. */
class HttpCall
{
public:
    virtual ~HttpCall() = default;
    virtual void cancel() = 0;
    /** Cancels the call if its receiver can't have begun to work on the request, so that it never will; false if it may
     * have begun. */
    virtual bool withdraw() = 0;
};

/**
 * HTTP/1.1 client with a pool of kept-alive connections for each address.
 *
 * A connection carries one request at a time and is closed after any error, so that a late response can't be
 * taken for the response to another request. A response may come before the request is wholly sent.
 */
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends @p request and calls @p callback once, on a thread of the io_context. */
    std::shared_ptr<HttpCall> send(const HostAddress &address, const HttpRequest &request,
                                   const HttpCallOptions &options, HttpCallback callback);
    /** Closes the idle connections to @p address, so that no more requests are written to an unreachable server. */
    void closeIdle(const HostAddress &address);
    /** Number of open idle connections. */
    std::size_t idleConnections() const;
    /** Bytes of the unfinished bodies that are being received. */
    std::size_t receivedBytes() const;
    /** Number of requests that have their response while the rest of their body is still being sent. */
    std::size_t unfinishedUploads() const;

private:
    std::shared_ptr<ConnectionPool> pool_;
};

} // namespace Hibiscus

#endif
