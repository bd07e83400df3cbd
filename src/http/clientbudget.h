#ifndef HIBISCUS_HTTP_CLIENTBUDGET_H
#define HIBISCUS_HTTP_CLIENTBUDGET_H

#include "core/clock.h"
#include "http/clientaccount.h"

#include <array>
#include <cstdint>
#include <list>
#include <string_view>

namespace Hibiscus
{

/** Bounds on what the clients of one daemon hold together. */
struct ClientLimits {
    std::size_t heldBytes = 72U << 20U; ///< Received, being handled, and not read yet by the client.
    std::size_t connections = 3072;
};

/** Name of a reason in metrics and logs. */
std::string_view clientEndName(ClientEnd end);

/**
 * Owner of what the clients of a daemon hold. Every connection draws on it.
 *
 * It answers crowds of clients that each stay within the limits of one request, and that leave bodies unfinished,
 * responses unread or connections unused, so that together they would take all memory or descriptors of the process. At
 * a bound it ends the one that holds most for longest without progress, and one that makes progress only if there is no
 * other. Callers may use only a part of each bound, so that readiness probes, check-ins and peers are still served.
 *
 * Not thread-safe: all connections of a budget belong to one thread. It keeps a connection's account until close().
 */
class ClientBudget
{
public:
    /** Bytes that a client moves within the stall time count as progress; fewer don't. */
    static constexpr std::size_t kProgressBytes = 4096;
    static constexpr Millis kStallTime{1000};
    /** Part of each bound that callers can't use. */
    static constexpr double kInnerFraction = 1.0 / 16;
    static constexpr double kInnerConnectionFraction = 0.25;

    ClientBudget(ClientLimits limits, const Clock &clock);
    ClientBudget(const ClientBudget &) = delete;
    ClientBudget &operator=(const ClientBudget &) = delete;

    /** Account of a new connection, for which another one may be ended; nullptr if there is no room for it. */
    ClientAccount *open(ClientShare share, BudgetedClient &client);

    /** Ends the account of a connection. */
    void close(ClientAccount *account, ClientEnd end);

    /** The client has moved @p bytes in either direction. */
    void recordProgress(ClientAccount &account, std::size_t bytes) const;

    /** The client has completed a message. */
    void recordMessage(ClientAccount &account) const;

    /** Records what a connection holds, and ends connections until all clients together hold no more than they may. */
    void update(ClientAccount &account, const HeldBytes &held, ClientState state);

    HeldBytes held() const;
    std::size_t connections() const;
    /** Connections in @p state. */
    std::size_t connections(ClientState state) const;
    /** Connections that have ended for the reason @p end. */
    std::uint64_t ended(ClientEnd end) const;
    const ClientLimits &limits() const
    {
        return limits_;
    }

private:
    bool exceeds() const;
    bool callersExceed() const;
    std::size_t bytesFor(ClientShare share) const;
    std::size_t connectionsFor(ClientShare share) const;
    bool isWithoutProgress(const ClientAccount &account) const;
    /** Whom to end first so that fewer bytes are held; nullptr if nobody holds any. */
    ClientAccount *chooseHolder();
    /** Whom to end first so that there is room for a new connection; nullptr if all make progress. */
    ClientAccount *chooseConnection(ClientShare share);
    void cutOff(ClientAccount &account, ClientEnd end);

    ClientLimits limits_;
    const Clock &clock_;
    std::list<ClientAccount> accounts_;
    std::array<std::size_t, kClientShares> heldByShare_{};
    std::array<std::size_t, kClientShares> connectionsByShare_{};
    HeldBytes held_;
    std::array<std::uint64_t, kClientEnds> ended_{};
};

} // namespace Hibiscus

#endif
