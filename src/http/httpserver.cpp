#include "http/httpserver.h"

#include "core/chronotime.h"
#include "core/steadyclock.h"
#include "http/endpoint.h"
#include "http/serverconnection.h"

#include <mutex>
#include <unordered_map>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace Hibiscus
{

namespace
{

constexpr Millis kSweepInterval{500};
constexpr Millis kAcceptRetry{50};
constexpr int kBacklog = 1024;
/** Connections that one step of the event loop accepts. With one a step, a busy process lets new connections wait until
 * their callers have given up. */
constexpr int kAcceptBatch = 64;

} // namespace

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &ioContext, HttpServerSettings serverSettings, HttpHandler &requestHandler)
        : context(ioContext)
        , settings(std::move(serverSettings))
        , connectionSettings{{settings.maximumHeaderBytes, settings.maximumBodyBytes},
                             settings.idleTimeout,
                             settings.headerTimeout,
                             settings.requestTimeout}
        , handler(requestHandler)
        , acceptor(ioContext)
        , sweepTimer(ioContext)
        , retryTimer(ioContext)
    {
    }

    void accept();
    void acceptWaiting();
    void adopt(ServerConnection::Socket socket);
    void sweep();
    std::vector<std::shared_ptr<ServerConnection>> openConnections();

    asio::io_context &context;
    HttpServerSettings settings;
    ServerConnectionSettings connectionSettings;
    HttpHandler &handler;
    SteadyClock clock;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    asio::steady_timer retryTimer;
    std::mutex mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>> connections;
    std::uint64_t lastId = 0;
    bool stopped = false;
};

void HttpServer::Private::accept()
{
    acceptor.async_accept(asio::make_strand(context),
                          [self = shared_from_this()](const asio::error_code &error, ServerConnection::Socket socket) {
                              if (error == asio::error::operation_aborted || self->stopped) {
                                  return;
                              }
                              if (error) {
                                  // Usually the process is out of descriptors; some will be free soon.
                                  self->retryTimer.expires_after(toChrono(kAcceptRetry));
                                  self->retryTimer.async_wait([self](const asio::error_code &aborted) {
                                      if (!aborted) {
                                          self->accept();
                                      }
                                  });
                                  return;
                              }
                              self->adopt(std::move(socket));
                              self->acceptWaiting();
                              self->accept();
                          });
}

/** Takes the connections that are waiting besides the one that was announced. */
void HttpServer::Private::acceptWaiting()
{
    for (int i = 1; i < kAcceptBatch; ++i) {
        asio::error_code error;
        ServerConnection::Socket socket = acceptor.accept(asio::make_strand(context), error);
        if (error) {
            // Nothing waits, or the next asynchronous accept meets the same error and handles it.
            return;
        }
        adopt(std::move(socket));
    }
}

void HttpServer::Private::adopt(ServerConnection::Socket socket)
{
    std::shared_ptr<ServerConnection> connection;
    {
        const std::lock_guard lock(mutex);
        if (connections.size() >= settings.maximumConnections) {
            return;
        }
        const std::uint64_t id = ++lastId;
        connection = std::make_shared<ServerConnection>(std::move(socket), id, connectionSettings, handler, clock,
                                                        [weak = weak_from_this()](std::uint64_t ended) {
                                                            if (const auto self = weak.lock()) {
                                                                const std::lock_guard guard(self->mutex);
                                                                self->connections.erase(ended);
                                                            }
                                                        });
        connections.emplace(id, connection);
    }
    connection->start();
}

void HttpServer::Private::sweep()
{
    sweepTimer.expires_after(toChrono(kSweepInterval));
    sweepTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->stopped) {
            return;
        }
        for (const auto &connection : self->openConnections()) {
            connection->checkTimeouts();
        }
        self->sweep();
    });
}

std::vector<std::shared_ptr<ServerConnection>> HttpServer::Private::openConnections()
{
    const std::lock_guard lock(mutex);
    std::vector<std::shared_ptr<ServerConnection>> open;
    open.reserve(connections.size());
    for (const auto &[id, connection] : connections) {
        open.push_back(connection);
    }
    return open;
}

HttpServer::HttpServer(asio::io_context &context, HttpServerSettings settings, HttpHandler &handler)
    : d_(std::make_shared<Private>(context, std::move(settings), handler))
{
}

HttpServer::~HttpServer()
{
    // The workers have ended by now, or the connections would still be in use.
    d_->stopped = true;
    for (const auto &connection : d_->openConnections()) {
        connection->detach();
    }
}

tl::expected<HostAddress, std::string> HttpServer::open()
{
    const std::optional<asio::ip::tcp::endpoint> endpoint = parseEndpoint(d_->settings.address);
    if (!endpoint) {
        return tl::unexpected(d_->settings.address.value() + " is not an IP address with a port");
    }
    asio::error_code error;
    d_->acceptor.open(endpoint->protocol(), error);
    if (!error) {
        d_->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        d_->acceptor.bind(*endpoint, error);
    }
    if (!error) {
        d_->acceptor.listen(kBacklog, error);
    }
    if (!error) {
        d_->acceptor.non_blocking(true, error);
    }
    if (error) {
        return tl::unexpected(d_->settings.address.value() + ": " + error.message());
    }
    const HostAddress bound = formatEndpoint(d_->acceptor.local_endpoint());
    d_->accept();
    d_->sweep();
    return bound;
}

void HttpServer::close()
{
    asio::post(d_->context, [d = d_] {
        asio::error_code ignored;
        d->acceptor.close(ignored);
    });
}

void HttpServer::closeIdleConnections()
{
    for (const auto &connection : d_->openConnections()) {
        connection->closeWhenIdle();
    }
}

} // namespace Hibiscus
