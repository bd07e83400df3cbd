#ifndef HIBISCUS_HTTP_RESPONSEWRITER_H
#define HIBISCUS_HTTP_RESPONSEWRITER_H

#include "http/httpmessage.h"

#include <string>

namespace Hibiscus
{

/** Appends @p response to @p output in the form in which it is sent. Without @p keepAlive it announces the close. */
void appendResponse(std::string &output, const HttpResponse &response, bool keepAlive);

} // namespace Hibiscus

#endif
