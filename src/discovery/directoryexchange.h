#ifndef HIBISCUS_DISCOVERY_DIRECTORYEXCHANGE_H
#define HIBISCUS_DISCOVERY_DIRECTORYEXCHANGE_H

#include "core/clock.h"
#include "core/randomsource.h"
#include "exchange/exchangeserver.h"
#include "http/httpclient.h"

#include <functional>
#include <set>
#include <vector>

#include <asio/any_io_executor.hpp>

namespace Hibiscus
{

/**
 * Exchanges configuration, server directory and crash reports with other daemons, while the store does not respond or
 * when a change can't wait for the store. Each tick sends a few messages, however large the deployment is.
 */
class DirectoryExchange
{
public:
    struct Callbacks {
        /**
         * State of this daemon for another one. @p other is the message that a response replies to, so that the
         * response can leave out what the sender already has; null for a request.
         */
        std::function<DirectoryMessage(const DirectoryMessage *other)> createMessage;
        std::function<void(const DirectoryMessage &)> merge;
        /** Addresses of the peers listeners of all known daemons. */
        std::function<std::vector<HostAddress>()> knownDaemons;
    };

    /** Callbacks run on @p executor, on which all functions must be called. */
    DirectoryExchange(asio::any_io_executor executor, HttpClient &client, const Clock &clock, RandomSource &random,
                      HostAddress self, Callbacks callbacks);

    /** Handles the body of a request of another daemon and returns the body of the response. */
    std::string handleRequest(const std::string &body);

    /** Adds a daemon to exchange with as long as knownDaemons() is empty. */
    void addContact(const HostAddress &daemon);

    /** Records the sender of a request as a contact and exchanges with it, if no daemon is known yet. */
    void recordContact(const HostAddress &daemon);

    /** Exchanges with a few random daemons. To be called every 500 ms while the store can't be relied on. */
    void tick();

    /** Exchanges with many random daemons at once, after an urgent change of this daemon. */
    void announce();

    /**
     * Exchanges with some random daemons, to propagate changes received from others. If each daemon propagates a
     * change once, it reaches nearly all daemons.
     */
    void propagate();

private:
    void exchangeWithRandomDaemons(std::size_t count);
    void exchangeWith(const HostAddress &daemon);
    std::vector<HostAddress> selectRandomDaemons(std::size_t count);

    asio::any_io_executor executor_;
    HttpClient &client_;
    const Clock &clock_;
    RandomSource &random_;
    HostAddress self_;
    Callbacks callbacks_;
    JsonRpcConnector connector_;
    ExchangeServer server_;
    std::set<HostAddress> contacts_; ///< Daemons to exchange with as long as knownDaemons() is empty.
    TimePoint lastContactExchange_;
};

} // namespace Hibiscus

#endif
