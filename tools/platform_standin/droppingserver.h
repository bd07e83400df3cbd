#ifndef HIBISCUS_PLATFORM_STANDIN_DROPPINGSERVER_H
#define HIBISCUS_PLATFORM_STANDIN_DROPPINGSERVER_H

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include <httplib.h>

namespace Hibiscus
{

/**
 * HTTP server that can refuse clients by address and can end a request without a response.
 *
 * Each connection carries one request, so that closing it affects no other call.
 */
class DroppingServer : public httplib::Server
{
public:
    /** @p onRefused is called for each connection that is closed because of its address. */
    explicit DroppingServer(std::function<void()> onRefused);

    /** Closes open and new connections from these IP addresses without a response. */
    void refuse(std::set<std::string> addresses);

    /** Closes the connection of the request that the calling thread handles, so that its response is lost. */
    static void dropCurrentConnection();

private:
    bool
    process_and_close_socket(socket_t socket) override; // NOLINT(readability-identifier-naming): cpp-httplib's name
    /** Records the connection as open; returns false if the address of its client is refused. */
    bool registerConnection(socket_t socket);

    std::function<void()> onRefused_;
    std::mutex mutex_;
    std::set<std::string> refused_;
    std::map<socket_t, std::string> open_;
};

} // namespace Hibiscus

#endif
