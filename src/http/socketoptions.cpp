#include "http/socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/ip/address.hpp>

namespace Hibiscus
{

namespace
{

constexpr int kUserTimeoutMillis = 3000;
/** Stands for the system's own timeout. */
constexpr int kNoUserTimeout = 0;
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

void setOption(ClientSocket &socket, int level, int option, int value)
{
    ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
}

} // namespace

void setClientOptions(ClientSocket &socket)
{
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setUserTimeout(socket);
}

void setUserTimeout(ClientSocket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMillis);
}

void clearUserTimeout(ClientSocket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kNoUserTimeout);
}

void probePeer(ClientSocket &socket)
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
}

bool bindSocket(ClientSocket &socket, const std::string &localAddress, const asio::ip::tcp::endpoint &peer)
{
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(localAddress, error);
    if (error) {
        return false;
    }
    socket.open(peer.protocol(), error);
    if (error) {
        return false;
    }
    socket.bind({address, 0}, error);
    return !error;
}

} // namespace Hibiscus
