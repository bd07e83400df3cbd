#include "teams/credential.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr std::string_view kScheme = "bearer";
constexpr std::string_view kBlanks = " \t";

constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(kBlanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool isScheme(std::string_view text)
{
    return std::equal(text.begin(), text.end(), kScheme.begin(), kScheme.end(),
                      [](char a, char b) { return lowerCase(a) == b; });
}

} // namespace

Credential parseCredential(const std::vector<std::string_view> &fields)
{
    if (fields.empty()) {
        return {};
    }
    const Credential malformed{Credential::Kind::Malformed};
    if (fields.size() > 1) {
        return malformed;
    }
    const std::string_view field = trimmed(fields.front());
    const std::size_t schemeEnd = field.find_first_of(kBlanks);
    if (schemeEnd == std::string_view::npos || !isScheme(field.substr(0, schemeEnd))) {
        return malformed;
    }
    const std::string_view key = trimmed(field.substr(schemeEnd));
    if (key.find_first_of(kBlanks) != std::string_view::npos) {
        return malformed;
    }
    return {Credential::Kind::Key, std::string(key)};
}

} // namespace Hibiscus
