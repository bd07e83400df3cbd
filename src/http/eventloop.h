#ifndef HIBISCUS_HTTP_EVENTLOOP_H
#define HIBISCUS_HTTP_EVENTLOOP_H

#include <asio/io_context.hpp>

namespace Hibiscus
{

/** Runs the handlers of @p context until it is stopped or has no more work. An exception ends only the handler that
 * threw it (guardMessage()). */
void runEventLoop(asio::io_context &context);

} // namespace Hibiscus

#endif
