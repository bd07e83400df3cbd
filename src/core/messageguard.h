#ifndef HIBISCUS_CORE_MESSAGEGUARD_H
#define HIBISCUS_CORE_MESSAGEGUARD_H

#include <cstdint>
#include <exception>
#include <string_view>

namespace Hibiscus
{

/** Logs and counts a message whose handling ended in @p error. */
void recordMessageFailed(std::string_view source, const std::exception &error);

/** Number of messages of this process whose handling ended in an exception. */
std::uint64_t failedMessages();

/**
 * Handles one message of another process, or one step of a loop, with @p handle. An exception ends only that message:
 * it is logged and counted, and the result is false. @p source says where the message comes from.
 */
template<class Handle>
bool guardMessage(std::string_view source, Handle handle)
{
    try {
        handle();
        return true;
    } catch (const std::exception &error) {
        recordMessageFailed(source, error);
        return false;
    }
}

} // namespace Hibiscus

#endif
