#include "http/headsyntax.h"

#include <algorithm>
#include <vector>

namespace Hibiscus
{

namespace
{

bool isTokenCharacter(char character)
{
    constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || kPunctuation.find(character) != std::string_view::npos;
}

bool isFieldCharacter(char character)
{
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

/** @p text without the spaces and tabs at its ends. */
std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t";
    const std::size_t begin = text.find_first_not_of(kBlanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool listsToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t end = std::min(list.find(','), list.size());
        if (sameHeaderName(trimBlanks(list.substr(0, end)), token)) {
            return true;
        }
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isFieldCharacter);
}

std::optional<HttpHeaders::Field> parseFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 1);
    if (!isToken(name) || !isFieldText(value)) {
        return std::nullopt;
    }
    return HttpHeaders::Field(name, trimBlanks(value));
}

bool listsToken(const HttpHeaders &headers, std::string_view name, std::string_view token)
{
    const std::vector<HttpHeaders::Field> &fields = headers.fields();
    return std::any_of(fields.begin(), fields.end(), [&](const HttpHeaders::Field &field) {
        return sameHeaderName(field.first, name) && listsToken(field.second, token);
    });
}

} // namespace Hibiscus
