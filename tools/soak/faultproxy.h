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

/** How the connections through a proxy behave. */
enum class LinkState {
    Sound,
    Delayed, ///< Bytes pass FaultProxy::kDelay later.
    Silent, ///< Bytes wait in both directions.
    AnswersLost, ///< Bytes to the client wait.
    Refused, ///< New connections are reset, open ones have been.
};

/** Relays TCP connections on loopback and disturbs them. All functions run on the thread of the io_context. */
class FaultProxy
{
public:
    static constexpr Millis kDelay{200};

    FaultProxy(asio::io_context &context, HostAddress listen, HostAddress target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** Returns the system's error text if the address can't be bound. */
    tl::expected<void, std::string> open();

    /** A connection whose bytes waited is reset when the state changes back, as one that the network forgot. */
    void setState(LinkState state);

    /** Resets all open connections. */
    void resetConnections();

private:
    class Private;
    std::shared_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
