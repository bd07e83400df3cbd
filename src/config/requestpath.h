#ifndef HIBISCUS_CONFIG_REQUESTPATH_H
#define HIBISCUS_CONFIG_REQUESTPATH_H

#include <string>
#include <string_view>

namespace Hibiscus
{

/**
 * Canonical form of a path, which rules are matched against: without query and fragment, percent-decoded, with "." and
 * ".." resolved, without empty segments and without a trailing slash.
 *
 * A backend server treats "/deposits", "//deposits/" and "/%64eposits" alike. If the rules did not, a different
 * spelling could turn a non-repeatable request into a repeatable one.
 */
std::string normalizePath(std::string_view path);

/** Whether the normalized @p path equals the normalized @p prefix or lies below it. */
bool pathStartsWith(std::string_view path, std::string_view prefix);

} // namespace Hibiscus

#endif
