#ifndef HIBISCUS_HTTP_ENDPOINT_H
#define HIBISCUS_HTTP_ENDPOINT_H

#include "core/ids.h"

#include <optional>

#include <asio/ip/tcp.hpp>

namespace Hibiscus
{

/** Parses an address such as "127.0.0.1:8080" or "[::1]:8080"; empty if it isn't an IP address with a port. */
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const HostAddress &address);

/** Formats an endpoint as an address that parseEndpoint() accepts. */
HostAddress formatEndpoint(const asio::ip::tcp::endpoint &endpoint);

} // namespace Hibiscus

#endif
