#include "config/errorlist.h"

#include <cstddef>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Longest value that an error quotes whole, in bytes. */
constexpr std::size_t kQuotedBytes = 80;

} // namespace

ErrorList::ErrorList(std::string file)
    : file_(std::move(file))
{
}

void ErrorList::addUnquoted(std::string location, std::string value, std::string allowed)
{
    errors_.push_back({file_, std::move(location), std::move(value), std::move(allowed)});
}

void ErrorList::add(std::string location, const nlohmann::json &value, std::string allowed)
{
    // ASCII output, so that cutting the text can't split a character.
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > kQuotedBytes) {
        text = text.substr(0, kQuotedBytes) + "...";
    }
    addUnquoted(std::move(location), std::move(text), std::move(allowed));
}

std::vector<ConfigError> ErrorList::extractErrors()
{
    return std::exchange(errors_, {});
}

} // namespace Hibiscus
