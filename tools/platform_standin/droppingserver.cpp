#include "platform_standin/droppingserver.h"

#include <array>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace Hibiscus
{

namespace
{

constexpr time_t kSocketTimeoutSeconds = 30;

/** Socket of the request that this thread handles, since cpp-httplib doesn't pass it to the handler. */
thread_local socket_t currentSocket = INVALID_SOCKET;

std::string peerAddress(socket_t socket)
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return {};
    }
    const void *ip = address.ss_family == AF_INET6
        ? static_cast<const void *>(&reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_addr)
        : static_cast<const void *>(&reinterpret_cast<const sockaddr_in *>(&address)->sin_addr);
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (inet_ntop(address.ss_family, ip, text.data(), text.size()) == nullptr) {
        return {};
    }
    return text.data();
}

} // namespace

DroppingServer::DroppingServer(std::function<void()> onRefused)
    : onRefused_(std::move(onRefused))
{
}

void DroppingServer::refuse(std::set<std::string> addresses)
{
    const std::lock_guard lock(mutex_);
    refused_ = std::move(addresses);
    for (const auto &[socket, address] : open_) {
        if (refused_.contains(address)) {
            shutdown(socket, SHUT_RDWR);
        }
    }
}

void DroppingServer::dropCurrentConnection()
{
    shutdown(currentSocket, SHUT_RDWR);
}

bool DroppingServer::process_and_close_socket(socket_t socket)
{
    bool handled = false;
    if (registerConnection(socket)) {
        currentSocket = socket;
        handled = httplib::detail::process_client_socket(socket, kSocketTimeoutSeconds, 0, kSocketTimeoutSeconds, 0,
                                                         [this](httplib::Stream &stream) {
                                                             bool closed = false;
                                                             return process_request(stream, true, closed, nullptr);
                                                         });
        currentSocket = INVALID_SOCKET;
        const std::lock_guard lock(mutex_);
        open_.erase(socket);
    }
    shutdown(socket, SHUT_RDWR);
    httplib::detail::close_socket(socket);
    return handled;
}

bool DroppingServer::registerConnection(socket_t socket)
{
    std::string address = peerAddress(socket);
    {
        const std::lock_guard lock(mutex_);
        if (!refused_.contains(address)) {
            open_.emplace(socket, std::move(address));
            return true;
        }
    }
    onRefused_();
    return false;
}

} // namespace Hibiscus
