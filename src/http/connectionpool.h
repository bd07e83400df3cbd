#ifndef HIBISCUS_HTTP_CONNECTIONPOOL_H
#define HIBISCUS_HTTP_CONNECTIONPOOL_H

#include "core/ids.h"
#include "core/steadyclock.h"
#include "http/receivebudget.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace Hibiscus
{

/** What the exchanges of an HttpClient share: its idle connections, by address, and the bytes that it holds. */
class ConnectionPool
{
public:
    using Socket = asio::ip::tcp::socket;

    /** Longest idle time of a connection that is reused, well below the time after which a server closes it. Also used
     * as the idle timeout of a server that states none. */
    static constexpr Millis kMaximumIdleTime{8000};

    explicit ConnectionPool(asio::io_context &context);

    asio::io_context &context();
    ReceiveBudget &receiveBudget();
    const ReceiveBudget &receiveBudget() const;

    /** Removes and returns the most recently used idle connection to @p address that is still usable. */
    std::optional<Socket> popIdle(const HostAddress &address);
    void addIdle(const HostAddress &address, Socket socket, Millis lifetime);
    void closeIdle(const HostAddress &address);
    /** Number of open idle connections. */
    std::size_t idleConnections() const;

    /** Number of requests that have their response while the rest of their body is still being sent. */
    std::atomic<std::size_t> unfinishedUploads{0};

private:
    /** Open connection without a request in progress. */
    struct IdleConnection {
        Socket socket;
        TimePoint expiry;
    };

    asio::io_context &context_;
    SteadyClock clock_;
    ReceiveBudget receiveBudget_;
    mutable std::mutex mutex_;
    std::unordered_map<HostAddress, std::vector<IdleConnection>> idle_;
};

} // namespace Hibiscus

#endif
