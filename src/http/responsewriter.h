#ifndef HIBISCUS_HTTP_RESPONSEWRITER_H
#define HIBISCUS_HTTP_RESPONSEWRITER_H

#include "http/httpmessage.h"

#include <string>

namespace Hibiscus
{

/** Appends @p response to @p output in the form in which it is sent. Without @p keepAlive it announces the close. With
 * @p toHead it is one to HEAD: its body is left out, and so is the length, which that of the body need not be. */
void appendResponse(std::string &output, const HttpResponse &response, bool keepAlive, bool toHead);

} // namespace Hibiscus

#endif
