#ifndef HIBISCUS_HTTP_HEADSYNTAX_H
#define HIBISCUS_HTTP_HEADSYNTAX_H

#include <string_view>

namespace Hibiscus
{

/** Whether @p text can be the value of a header field or a reason phrase: no control character except a tab. */
bool isFieldText(std::string_view text);

} // namespace Hibiscus

#endif
