#ifndef HIBISCUS_HTTP_SOCKETOPTIONS_H
#define HIBISCUS_HTTP_SOCKETOPTIONS_H

#include <string>

#include <asio/ip/tcp.hpp>

namespace Hibiscus
{

// Options that the system refuses are left out: a connection works without them, but its loss may be noticed late.

/** Socket of a connection that this process opens. */
using ClientSocket = asio::ip::tcp::socket;

/** Sets what every connected socket of a client has: calls that don't block, no delay of small messages, and the user
 * timeout. */
void setClientOptions(ClientSocket &socket);

/** Ends the connection when bytes stay unacknowledged for some seconds, so that a host without power is noticed. */
void setUserTimeout(ClientSocket &socket);

/** Removes the user timeout, which would also end a connection to a live peer that reads late. */
void clearUserTimeout(ClientSocket &socket);

/** Ends a silent connection when its peer answers no probe for some seconds. */
void probePeer(ClientSocket &socket);

/** Binds @p socket, which is not open yet, to the IP address @p localAddress for a connection to @p peer; false if that
 * fails. */
bool bindSocket(ClientSocket &socket, const std::string &localAddress, const asio::ip::tcp::endpoint &peer);

} // namespace Hibiscus

#endif
