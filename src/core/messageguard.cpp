#include "core/messageguard.h"

#include "core/logevent.h"

#include <atomic>

namespace Hibiscus
{

namespace
{

std::atomic<std::uint64_t> failed{0};

} // namespace

void recordMessageFailed(std::string_view source, const std::exception &error)
{
    ++failed;
    logEvent(LogEvent::MessageFailed, error.what(), {{"source", source}});
}

std::uint64_t failedMessages()
{
    return failed;
}

} // namespace Hibiscus
