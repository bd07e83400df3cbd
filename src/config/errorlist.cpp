#include "config/errorlist.h"

#include <cstddef>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Longer values are truncated in errors. */
constexpr std::size_t kMaximumQuotedBytes = 80;

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
    // Non-ASCII characters are escaped, so that truncation can't split a UTF-8 sequence.
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > kMaximumQuotedBytes) {
        text = text.substr(0, kMaximumQuotedBytes) + "...";
    }
    addUnquoted(std::move(location), std::move(text), std::move(allowed));
}

std::vector<ConfigError> ErrorList::extractErrors()
{
    return std::exchange(errors_, {});
}

} // namespace Hibiscus
