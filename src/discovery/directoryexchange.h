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
 * Tells other daemons what this one knows and learns from them, while the store does not answer or when something
 * happens that can't wait for the store. Its cost is bounded by a few messages a tick, however large the deployment.
 */
class DirectoryExchange
{
public:
    struct Callbacks {
        /** What this daemon knows; @p other: what is known of the receiver's knowledge, null for a request. */
        std::function<DirectoryMessage(const DirectoryMessage *other)> describe;
        std::function<void(const DirectoryMessage &)> merge;
        /** Peers listeners of the daemons that are known. */
        std::function<std::vector<HostAddress>()> knownDaemons;
    };

    /** Callbacks run on @p executor, on which all functions are to be called. */
    DirectoryExchange(asio::any_io_executor executor, HttpClient &client, const Clock &clock, RandomSource &random,
                      HostAddress self, Callbacks callbacks);

    /** Answers the body of a request of another daemon. */
    std::string handleRequest(const std::string &body);

    /** A daemon that can be asked while no other is known. */
    void addContact(const HostAddress &daemon);

    /** Another daemon has sent something, so it can be asked. */
    void recordContact(const HostAddress &daemon);

    /** Exchanges with a few daemons drawn at random. To be called every 500 ms while there is a need. */
    void tick();

    /** Tells many daemons at once. */
    void announce();

    /** Tells some daemons what others have told this one. News that each daemon passes on once reach nearly all. */
    void passOn();

private:
    void exchangeWithSome(std::size_t count);
    void exchangeWith(const HostAddress &daemon);
    std::vector<HostAddress> draw(std::size_t count);

    asio::any_io_executor executor_;
    HttpClient &client_;
    const Clock &clock_;
    RandomSource &random_;
    HostAddress self_;
    Callbacks callbacks_;
    JsonRpcConnector connector_;
    ExchangeServer server_;
    std::set<HostAddress> contacts_; ///< Senders while no daemon is known otherwise.
    TimePoint lastContactExchange_;
};

} // namespace Hibiscus

#endif
