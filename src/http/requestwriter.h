#ifndef HIBISCUS_HTTP_REQUESTWRITER_H
#define HIBISCUS_HTTP_REQUESTWRITER_H

#include "core/ids.h"
#include "http/httpmessage.h"

#include <string>

namespace Hibiscus
{

/** Request line and header fields of @p request in the form in which they are sent to @p address, up to the body. They
 * say so if the connection is closed after the response. */
std::string serializeRequestHead(const HostAddress &address, const HttpRequest &request, bool closesConnection);

} // namespace Hibiscus

#endif
