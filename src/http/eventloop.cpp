#include "http/eventloop.h"

#include "core/messageguard.h"

namespace Hibiscus
{

void runEventLoop(asio::io_context &context)
{
    // After an exception run() may be called again, without restart().
    while (!guardMessage("event loop", [&context] { context.run(); })) { }
}

} // namespace Hibiscus
