#ifndef HIBISCUS_CONFIG_VALUEFORMAT_H
#define HIBISCUS_CONFIG_VALUEFORMAT_H

#include "core/millis.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

inline constexpr std::size_t kMaximumNameBytes = 63;
inline constexpr const char *kNameAllowed =
    "a name of 1 to 63 letters, digits, '-', '_' or '.', which starts with a letter or digit";
inline constexpr const char *kDurationAllowed = "a duration such as \"800 ms\", \"2.5 s\" or \"1 min\"";

/** Whether @p text is valid as a name. Names are used in paths and in the keys of the platform's objects. */
bool isName(std::string_view text);

/** Duration with unit, with or without a space between them; empty if @p text is anything else. */
std::optional<Millis> parseDuration(std::string_view text);

/** Duration as text that parseDuration() reads back exactly. */
std::string formatDuration(Millis duration);

/** Parts of an address such as "10.0.0.1:8080" or "[::1]:8080". */
struct AddressParts {
    bool loopback = false;
    bool unspecified = false; ///< 0.0.0.0 or ::
    int port = 0;
};

/** Parts of an IP address with port; empty if @p text is anything else. */
std::optional<AddressParts> parseAddress(std::string_view text);

} // namespace Hibiscus

#endif
