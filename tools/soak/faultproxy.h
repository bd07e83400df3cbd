#ifndef HIBISCUS_SOAK_FAULTPROXY_H
#define HIBISCUS_SOAK_FAULTPROXY_H

#include "core/ids.h"
#include "core/millis.h"

#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

namespace Hibiscus
{

/** Behaviour of all connections through a proxy. */
enum class LinkState {
    Normal,
    Delayed, ///< Bytes are forwarded after FaultProxy::kDelay.
    Silent, ///< Bytes are held back in both directions.
    ResponsesLost, ///< Bytes to the client are held back.
    Refused, ///< Open and new connections are reset.
};

/** Relays TCP connections on loopback and injects faults. All functions run on the thread of the io_context. */
class FaultProxy
{
public:
    static constexpr Millis kDelay{200};

    FaultProxy(asio::io_context &context, HostAddress listen, HostAddress target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** Starts to listen. Returns the system's error text if the address can't be bound. */
    tl::expected<void, std::string> open();

    /**
     * Changes the state of all connections. Those with held-back bytes are reset, like connections whose state the
     * network has lost.
     */
    void setState(LinkState state);

    /** Resets all open connections. */
    void resetConnections();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
