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

constexpr Millis kTimeoutCheckInterval{500};
constexpr Millis kAcceptRetryDelay{50};
constexpr int kListenBacklog = 1024;
/** Connections accepted per event loop iteration. With one per iteration, new connections to a busy process wait until
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
                             settings.requestTimeout,
                             settings.budget,
                             settings.share}
        , handler(requestHandler)
        , acceptor(ioContext)
        , timeoutCheckTimer(ioContext)
        , retryTimer(ioContext)
    {
    }

    void accept();
    void acceptPending();
    void addConnection(ServerConnection::Socket socket);
    void scheduleTimeoutCheck();
    std::vector<std::shared_ptr<ServerConnection>> openConnections();

    asio::io_context &context;
    HttpServerSettings settings;
    ServerConnectionSettings connectionSettings;
    HttpHandler &handler;
    SteadyClock clock;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timeoutCheckTimer;
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
                                  // Usually the process is out of file descriptors; retry when some may be free again.
                                  self->retryTimer.expires_after(toChrono(kAcceptRetryDelay));
                                  self->retryTimer.async_wait([self](const asio::error_code &aborted) {
                                      if (!aborted) {
                                          self->accept();
                                      }
                                  });
                                  return;
                              }
                              self->addConnection(std::move(socket));
                              self->acceptPending();
                              self->accept();
                          });
}

/** Accepts the other connections that are already in the listen queue. */
void HttpServer::Private::acceptPending()
{
    for (int i = 1; i < kAcceptBatch; ++i) {
        asio::error_code error;
        ServerConnection::Socket socket = acceptor.accept(asio::make_strand(context), error);
        if (error) {
            // The queue is empty, or the next asynchronous accept gets the same error and handles it.
            return;
        }
        addConnection(std::move(socket));
    }
}

void HttpServer::Private::addConnection(ServerConnection::Socket socket)
{
    std::shared_ptr<ServerConnection> connection;
    {
        const std::lock_guard lock(mutex);
        if (settings.budget == nullptr && connections.size() >= settings.maximumConnections) {
            return;
        }
        const std::uint64_t id = ++lastId;
        connection = std::make_shared<ServerConnection>(std::move(socket), id, connectionSettings, handler, clock,
                                                        [weak = weak_from_this()](std::uint64_t closedId) {
                                                            if (const auto self = weak.lock()) {
                                                                const std::lock_guard guard(self->mutex);
                                                                self->connections.erase(closedId);
                                                            }
                                                        });
        connections.emplace(id, connection);
    }
    connection->start();
}

void HttpServer::Private::scheduleTimeoutCheck()
{
    timeoutCheckTimer.expires_after(toChrono(kTimeoutCheckInterval));
    timeoutCheckTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->stopped) {
            return;
        }
        for (const auto &connection : self->openConnections()) {
            connection->checkTimeouts();
        }
        self->scheduleTimeoutCheck();
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
    // The threads of the io_context must have ended before this, since they use the connections.
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
        d_->acceptor.listen(kListenBacklog, error);
    }
    if (!error) {
        d_->acceptor.non_blocking(true, error);
    }
    if (error) {
        return tl::unexpected(d_->settings.address.value() + ": " + error.message());
    }
    const HostAddress bound = formatEndpoint(d_->acceptor.local_endpoint());
    d_->accept();
    d_->scheduleTimeoutCheck();
    return bound;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    ServerConnectionSettings &shared = d_->connectionSettings;
    shared.limits = {limits.headerBytes, limits.bodyBytes};
    shared.headerTimeout = limits.headerTimeout;
    shared.idleTimeout = limits.idleTimeout;
}

ClientShare HttpServer::share() const
{
    return d_->settings.share;
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

std::size_t HttpServer::connectionCount() const
{
    const std::lock_guard lock(d_->mutex);
    return d_->connections.size();
}

} // namespace Hibiscus
