#include "soak/faultproxy.h"

#include "core/chronotime.h"
#include "http/endpoint.h"

#include <array>
#include <functional>
#include <set>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace Hibiscus
{

namespace
{

using Socket = asio::ip::tcp::socket;

constexpr std::size_t kBufferBytes = 16384;

void reset(Socket &socket)
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/** One client connection and its connection to the target. */
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(Socket client, const LinkState &state, std::function<void(const std::shared_ptr<Relay> &)> ended)
        : state_(state)
        , ended_(std::move(ended))
        , server_(client.get_executor())
        , client_(std::move(client))
        , toServer_(client_.get_executor())
        , toClient_(client_.get_executor())
    {
    }

    void start(const asio::ip::tcp::endpoint &target)
    {
        server_.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
            if (error) {
                self->abort();
                return;
            }
            self->relayNext(self->client_, self->server_, self->toServer_);
            self->relayNext(self->server_, self->client_, self->toClient_);
        });
    }

    void abort()
    {
        reset(client_);
        reset(server_);
        toServer_.timer.cancel();
        toClient_.timer.cancel();
        if (const auto ended = std::exchange(ended_, nullptr)) {
            ended(shared_from_this());
        }
    }

    bool hasHeldBytes() const
    {
        return hasHeldBytes_;
    }

private:
    /** Buffer and delay timer of one direction. */
    struct Direction {
        explicit Direction(const asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        std::array<char, kBufferBytes> buffer{};
        asio::steady_timer timer;
    };

    /** Reads the next bytes of one direction and forwards them. */
    void relayNext(Socket &from, Socket &to, Direction &direction)
    {
        from.async_read_some(
            asio::buffer(direction.buffer),
            [self = shared_from_this(), &from, &to, &direction](const asio::error_code &error, std::size_t size) {
                if (error == asio::error::eof) {
                    asio::error_code ignored;
                    to.shutdown(Socket::shutdown_send, ignored);
                    self->closeIfBothEnded();
                    return;
                }
                if (error) {
                    self->abort();
                    return;
                }
                self->forward(from, to, direction, size);
            });
    }

    void forward(Socket &from, Socket &to, Direction &direction, std::size_t size)
    {
        const bool isHeldBack = state_ == LinkState::Silent || (state_ == LinkState::ResponsesLost && &to == &client_);
        if (isHeldBack) {
            // FaultProxy::setState() resets the connection at the next change.
            hasHeldBytes_ = true;
            return;
        }
        direction.timer.expires_after(toChrono(state_ == LinkState::Delayed ? FaultProxy::kDelay : Millis{0}));
        direction.timer.async_wait([self = shared_from_this(), &from, &to, &direction, size](const asio::error_code &) {
            asio::async_write(to, asio::buffer(direction.buffer.data(), size),
                              [self, &from, &to, &direction](const asio::error_code &error, std::size_t) {
                                  if (error) {
                                      self->abort();
                                      return;
                                  }
                                  self->relayNext(from, to, direction);
                              });
        });
    }

    void closeIfBothEnded()
    {
        if (std::exchange(oneDirectionEnded_, true)) {
            abort();
        }
    }

    const LinkState &state_;
    std::function<void(const std::shared_ptr<Relay> &)> ended_;
    Socket server_;
    Socket client_;
    Direction toServer_;
    Direction toClient_;
    bool hasHeldBytes_ = false;
    bool oneDirectionEnded_ = false;
};

} // namespace

class FaultProxy::Private : public std::enable_shared_from_this<FaultProxy::Private>
{
public:
    Private(asio::io_context &context, HostAddress listenAddress, HostAddress targetAddress)
        : listen(std::move(listenAddress))
        , target(std::move(targetAddress))
        , acceptor(context)
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const asio::error_code &error, Socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                self->startRelay(std::move(socket));
            }
            self->accept();
        });
    }

    void startRelay(Socket socket)
    {
        if (state == LinkState::Refused) {
            reset(socket);
            return;
        }
        const auto relay =
            std::make_shared<Relay>(std::move(socket), state, [weak = weak_from_this()](const auto &ended) {
                if (const auto self = weak.lock()) {
                    self->relays.erase(ended);
                }
            });
        relays.insert(relay);
        relay->start(*parseEndpoint(target));
    }

    void abortRelays(const std::function<bool(const Relay &)> &isSelected)
    {
        const std::vector<std::shared_ptr<Relay>> open(relays.begin(), relays.end());
        for (const std::shared_ptr<Relay> &relay : open) {
            if (isSelected(*relay)) {
                relay->abort();
            }
        }
    }

    HostAddress listen;
    HostAddress target;
    asio::ip::tcp::acceptor acceptor;
    LinkState state = LinkState::Normal;
    std::set<std::shared_ptr<Relay>> relays;
};

FaultProxy::FaultProxy(asio::io_context &context, HostAddress listen, HostAddress target)
    : d_(std::make_shared<Private>(context, std::move(listen), std::move(target)))
{
}

FaultProxy::~FaultProxy()
{
    asio::error_code ignored;
    d_->acceptor.close(ignored);
    resetConnections();
}

tl::expected<void, std::string> FaultProxy::open()
{
    const auto endpoint = parseEndpoint(d_->listen);
    if (!endpoint || !parseEndpoint(d_->target)) {
        return tl::unexpected("invalid proxy address: " + d_->listen.value() + " or " + d_->target.value());
    }
    asio::error_code error;
    d_->acceptor.open(endpoint->protocol(), error);
    d_->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    d_->acceptor.bind(*endpoint, error);
    if (!error) {
        d_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return tl::unexpected(d_->listen.value() + ": " + error.message());
    }
    d_->accept();
    return {};
}

void FaultProxy::setState(LinkState state)
{
    d_->state = state;
    if (state == LinkState::Refused) {
        resetConnections();
    } else {
        d_->abortRelays([](const Relay &relay) { return relay.hasHeldBytes(); });
    }
}

void FaultProxy::resetConnections()
{
    d_->abortRelays([](const Relay &) { return true; });
}

} // namespace Hibiscus
