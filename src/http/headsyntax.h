#ifndef HIBISCUS_HTTP_HEADSYNTAX_H
#define HIBISCUS_HTTP_HEADSYNTAX_H

#include "http/httpmessage.h"

#include <optional>
#include <string_view>

namespace Hibiscus
{

/** Whether @p text is a token (RFC 9110, section 5.6.2), as the name of a header field must be. */
bool isToken(std::string_view text);

/** Whether @p text can be the value of a header field or a reason phrase: no control character except a tab. */
bool isFieldText(std::string_view text);

/**
 * Parses a line "name: value" of a head or a trailer section; empty if it is none. Refuses what other implementations
 * read as a field of another name or value: a blank in the name or before the colon, a folded line, a control
 * character.
 */
std::optional<HttpHeaders::Field> parseFieldLine(std::string_view line);

/** Whether a field @p name of @p headers, which holds a list, has the element @p token in it, in any case. */
bool listsToken(const HttpHeaders &headers, std::string_view name, std::string_view token);

} // namespace Hibiscus

#endif
