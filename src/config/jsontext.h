#ifndef HIBISCUS_CONFIG_JSONTEXT_H
#define HIBISCUS_CONFIG_JSONTEXT_H

#include "config/errorlist.h"

#include <cstddef>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Longest text that is read, in bytes: the platform stores values up to 1 MB. */
inline constexpr std::size_t kMaximumTextBytes = 1'000'000;

/**
 * Parses JSON with comments.
 *
 * Adds to @p errors: syntax errors with line and column, and keys that occur twice in one object, of which the JSON
 * library would keep only the last. The result is null after a syntax error and for text that is too long or nested too
 * deeply.
 */
nlohmann::json parseJsonText(std::string_view text, ErrorList &errors);

/** Location of a member or element below @p location, escaped as in a JSON pointer (RFC 6901). */
std::string childLocation(const std::string &location, std::string_view key);
std::string childLocation(const std::string &location, std::size_t index);

} // namespace Hibiscus

#endif
