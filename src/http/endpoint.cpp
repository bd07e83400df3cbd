#include "http/endpoint.h"

#include <charconv>

#include <asio/ip/address.hpp>

namespace Hibiscus
{

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const HostAddress &address)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port > 65535) {
        return std::nullopt;
    }
    asio::error_code error;
    const asio::ip::address ip = asio::ip::make_address(host, error);
    if (error) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

HostAddress formatEndpoint(const asio::ip::tcp::endpoint &endpoint)
{
    const std::string port = std::to_string(endpoint.port());
    const std::string host = endpoint.address().to_string();
    if (endpoint.address().is_v6()) {
        return HostAddress("[" + host + "]:" + port);
    }
    return HostAddress(host + ":" + port);
}

} // namespace Hibiscus
