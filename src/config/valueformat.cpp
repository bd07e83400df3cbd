#include "config/valueformat.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include <arpa/inet.h>

namespace Hibiscus
{

namespace
{

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

/** Enough for the shortest decimal text of any double, which std::to_chars writes. */
constexpr std::size_t kDoubleBytes = 32;

template<class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size()) {
        return {};
    }
    return value;
}

std::optional<AddressParts> parseHost(const std::string &host, bool bracketed)
{
    AddressParts parts;
    if (bracketed) {
        in6_addr address{};
        if (inet_pton(AF_INET6, host.c_str(), &address) != 1) {
            return {};
        }
        parts.loopback = IN6_IS_ADDR_LOOPBACK(&address);
        parts.unspecified = IN6_IS_ADDR_UNSPECIFIED(&address);
        return parts;
    }
    in_addr address{};
    if (inet_pton(AF_INET, host.c_str(), &address) != 1) {
        return {};
    }
    constexpr unsigned kFirstByteShift = 24;
    constexpr unsigned kLoopbackNetwork = 127;
    parts.loopback = (ntohl(address.s_addr) >> kFirstByteShift) == kLoopbackNetwork;
    parts.unspecified = address.s_addr == INADDR_ANY;
    return parts;
}

} // namespace

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > kMaximumNameBytes || !isLetterOrDigit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.'; });
}

std::optional<Millis> parseDuration(std::string_view text)
{
    constexpr std::array<std::pair<std::string_view, double>, 3> kUnits{{{"ms", 1}, {"s", 1000}, {"min", 60000}}};
    const std::size_t end = text.find_first_not_of("0123456789.");
    if (end == std::string_view::npos || end == 0 || text.front() == '.') {
        return {};
    }
    const auto number = parseNumber<double>(text.substr(0, end));
    const std::string_view unit = text.substr(text[end] == ' ' ? end + 1 : end);
    const auto found =
        std::find_if(kUnits.begin(), kUnits.end(), [&](const auto &entry) { return entry.first == unit; });
    if (!number || found == kUnits.end()) {
        return {};
    }
    return Millis{*number * found->second};
}

std::string formatDuration(Millis duration)
{
    constexpr double kMillisPerSecond = 1000;
    const bool wholeSeconds = duration.value > 0 && std::fmod(duration.value, kMillisPerSecond) == 0;
    const double number = wholeSeconds ? duration.value / kMillisPerSecond : duration.value;
    std::array<char, kDoubleBytes> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number).ptr;
    return std::string(buffer.data(), end) + (wholeSeconds ? " s" : " ms");
}

std::optional<AddressParts> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return {};
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parseNumber<int>(text.substr(colon + 1));
    constexpr int kMaximumPort = 65535;
    if (!port || *port < 1 || *port > kMaximumPort) {
        return {};
    }
    auto parts = parseHost(std::string(host), bracketed);
    if (parts) {
        parts->port = *port;
    }
    return parts;
}

} // namespace Hibiscus
