#include "http/connectionpool.h"

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

namespace Hibiscus
{

namespace
{

constexpr std::size_t kMaximumIdleConnections = 256;

/** Whether an idle connection is still open and has received no unexpected bytes. */
bool hasNoInput(ConnectionPool::Socket &socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &context)
    : context_(context)
{
}

asio::io_context &ConnectionPool::context()
{
    return context_;
}

ReceiveBudget &ConnectionPool::receiveBudget()
{
    return receiveBudget_;
}

const ReceiveBudget &ConnectionPool::receiveBudget() const
{
    return receiveBudget_;
}

std::optional<ConnectionPool::Socket> ConnectionPool::popIdle(const HostAddress &address)
{
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    std::vector<IdleConnection> &connections = found->second;
    while (!connections.empty()) {
        IdleConnection connection = std::move(connections.back());
        connections.pop_back();
        if (clock_.now() < connection.expiry && hasNoInput(connection.socket)) {
            return std::move(connection.socket);
        }
    }
    return std::nullopt;
}

void ConnectionPool::addIdle(const HostAddress &address, Socket socket, Millis lifetime)
{
    const std::lock_guard lock(mutex_);
    std::vector<IdleConnection> &connections = idle_[address];
    const TimePoint now = clock_.now();
    std::erase_if(connections, [now](const IdleConnection &candidate) { return now >= candidate.expiry; });
    if (connections.size() < kMaximumIdleConnections) {
        connections.push_back({std::move(socket), now + lifetime});
    }
}

void ConnectionPool::closeIdle(const HostAddress &address)
{
    const std::lock_guard lock(mutex_);
    idle_.erase(address);
}

std::size_t ConnectionPool::idleConnections() const
{
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto &entry : idle_) {
        count += entry.second.size();
    }
    return count;
}

} // namespace Hibiscus
