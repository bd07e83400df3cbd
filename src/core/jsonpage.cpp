#include "core/jsonpage.h"

#include <optional>

namespace Hibiscus
{

namespace
{

constexpr std::string_view kBlanks = " \t\r\n";

/** Position after the string that begins at @p at. */
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (std::size_t i = at + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return text.size();
}

/** Position of the first of @p characters from @p at on that stands neither in a string nor in brackets. */
std::size_t findAtThisLevel(std::string_view text, std::size_t at, std::string_view characters)
{
    int depth = 0;
    while (at < text.size()) {
        const char character = text[at];
        if (depth == 0 && characters.find(character) != std::string_view::npos) {
            return at;
        }
        if (character == '"') {
            at = endOfString(text, at);
            continue;
        }
        depth += character == '[' || character == '{' ? 1 : 0;
        depth -= character == ']' || character == '}' ? 1 : 0;
        ++at;
    }
    return std::string_view::npos;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(kBlanks);
    return first == std::string_view::npos ? "" : text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

/** Position after the opening bracket of the array that is the member @p member of the object in @p text. */
std::optional<std::size_t> beginOfArray(std::string_view text, std::string_view member)
{
    const std::string name = '"' + std::string(member) + '"';
    std::size_t at = text.find('{');
    while (at < text.size()) {
        const std::size_t nameBegin = text.find_first_not_of(kBlanks, at + 1);
        const std::size_t colon = findAtThisLevel(text, at + 1, ":");
        if (nameBegin == std::string_view::npos || colon == std::string_view::npos) {
            return std::nullopt;
        }
        const std::size_t value = text.find_first_not_of(kBlanks, colon + 1);
        if (trimmed(text.substr(nameBegin, colon - nameBegin)) == name) {
            const bool isArray = value != std::string_view::npos && text[value] == '[';
            return isArray ? std::optional(value + 1) : std::nullopt;
        }
        at = findAtThisLevel(text, colon + 1, ",");
    }
    return std::nullopt;
}

} // namespace

JsonPage splitJsonPage(std::string_view text, std::string_view member)
{
    const std::optional<std::size_t> begin = beginOfArray(text, member);
    if (!begin) {
        return {std::string(text), {}};
    }
    JsonPage page;
    std::size_t at = *begin;
    std::size_t end = findAtThisLevel(text, at, ",]");
    while (end != std::string_view::npos) {
        const std::string_view entry = trimmed(text.substr(at, end - at));
        if (!entry.empty()) {
            page.entries.push_back(entry);
        }
        if (text[end] == ']') {
            page.envelope = std::string(text.substr(0, *begin)) + std::string(text.substr(end));
            return page;
        }
        at = end + 1;
        end = findAtThisLevel(text, at, ",]");
    }
    // The array has no end, so the text isn't valid.
    return {std::string(text), {}};
}

} // namespace Hibiscus
