#ifndef HIBISCUS_HTTP_ENDPOINT_H
#define HIBISCUS_HTTP_ENDPOINT_H

#include "core/ids.h"

#include <optional>

#include <asio/ip/tcp.hpp>

namespace Hibiscus
{

/** Endpoint of an address such as "127.0.0.1:8080" or "[::1]:8080"; empty if it isn't an IP address with a port. */
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const HostAddress &address);

/** Address of an endpoint in the form that parseEndpoint() reads. */
HostAddress formatEndpoint(const asio::ip::tcp::endpoint &endpoint);

} // namespace Hibiscus

#endif
