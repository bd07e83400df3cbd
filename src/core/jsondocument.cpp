#include "core/jsondocument.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

/** Deepest nesting of arrays and objects in @p text, whether or not it is valid otherwise. */
int nestingDepth(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            i += character == '\\' ? 1 : 0;
            inString = character != '"';
            continue;
        }
        inString = character == '"';
        if (character == '[' || character == '{') {
            deepest = std::max(deepest, ++depth);
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return deepest;
}

} // namespace

std::optional<nlohmann::json> readJson(std::string_view text)
{
    if (nestingDepth(text) > kMaximumJsonDepth) {
        return std::nullopt;
    }
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

std::string writeJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Hibiscus
