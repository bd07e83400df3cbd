#ifndef HIBISCUS_HTTP_CLIENTACCOUNT_H
#define HIBISCUS_HTTP_CLIENTACCOUNT_H

#include "core/millis.h"

#include <cstddef>
#include <list>

namespace Hibiscus
{

/** Which clients a listener serves. */
enum class ClientShare {
    Callers, ///< Callers and readers of metrics.
    Inner, ///< Readiness probes, backend servers and other daemons.
};

inline constexpr std::size_t kClientShares = 2;

/** What a connection does. */
enum class ClientState {
    Idle, ///< Between two requests.
    Receiving, ///< The client has sent a part of a request.
    Handling, ///< The client waits for the response.
    Unread, ///< The client has not read what was sent.
};

/** Bytes that a connection holds, by what holds them. */
struct HeldBytes {
    std::size_t received = 0; ///< Requests that are not complete, with the parsed fields.
    std::size_t handled = 0; ///< Requests without a response.
    std::size_t queued = 0; ///< Responses that wait for an earlier one.
    std::size_t unread = 0; ///< Responses that the client has not read.

    std::size_t total() const
    {
        return received + handled + queued + unread;
    }
};

/** Why a connection of a client has ended. */
enum class ClientEnd {
    Closed, ///< By the client, or after its last response.
    IdleTimeout,
    HeaderTimeout,
    RequestTimeout,
    HeldBytes, ///< The clients together held too much.
    Connections, ///< The clients together had too many connections.
};

inline constexpr std::size_t kClientEnds = 6;

/** Connection of a client that draws on a ClientBudget. */
class BudgetedClient
{
public:
    virtual ~BudgetedClient() = default;

    /** Gives up all that the connection holds, or closes it, before it returns. For ClientEnd::HeldBytes, a request
     * that is not complete may be refused first; for ClientEnd::Connections the descriptor must be free. */
    virtual void cutOff(ClientEnd end) = 0;
};

/** What a ClientBudget knows of one connection. */
struct ClientAccount {
    ClientShare share = ClientShare::Callers;
    BudgetedClient *client = nullptr;
    HeldBytes held{};
    ClientState state = ClientState::Idle;
    TimePoint lastProgress{};
    std::size_t movedBytes = 0; ///< Since the last progress.
    bool hasProgressed = false;
    std::list<ClientAccount>::iterator position{};

    /** Whether the next step is the client's. */
    bool waitsForClient() const
    {
        return state != ClientState::Handling;
    }
};

} // namespace Hibiscus

#endif
