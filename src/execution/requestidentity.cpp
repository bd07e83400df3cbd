#include "execution/requestidentity.h"

#include <array>
#include <charconv>

namespace Hibiscus
{

namespace
{

constexpr std::size_t kIncarnationDigits = 16;

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

std::string formatNumber(std::uint64_t number, int base)
{
    std::array<char, 24> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    return {digits.data(), result.ptr};
}

} // namespace

std::string formatRequestIdentity(const RequestIdentity &identity)
{
    std::string incarnation = formatNumber(identity.incarnation.value(), 16);
    incarnation.insert(0, kIncarnationDigits - incarnation.size(), '0');
    return identity.arbiter.value() + '/' + incarnation + '/' + formatNumber(identity.sequence, 10);
}

std::optional<RequestIdentity> parseRequestIdentity(std::string_view text)
{
    const std::size_t first = text.find('/');
    const std::size_t second = first == std::string_view::npos ? first : text.find('/', first + 1);
    if (first == 0 || second == std::string_view::npos) {
        return std::nullopt;
    }

    const auto incarnation = parseNumber(text.substr(first + 1, second - first - 1), 16);
    const auto sequence = parseNumber(text.substr(second + 1), 10);
    const auto arbiter = HostAddress::parse(text.substr(0, first));
    if (!incarnation || !sequence || !arbiter) {
        return std::nullopt;
    }

    RequestIdentity identity{*arbiter, Incarnation(*incarnation), *sequence};
    // Each identity has exactly one valid text: other spellings (capitals, leading zeros) are rejected.
    if (formatRequestIdentity(identity) != text) {
        return std::nullopt;
    }
    return identity;
}

} // namespace Hibiscus
