#ifndef HIBISCUS_PLATFORM_STOREERROR_H
#define HIBISCUS_PLATFORM_STOREERROR_H

#include <optional>
#include <string_view>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Reasons why a call of the platform's object API fails. */
enum class StoreError {
    NotFound, ///< No object has this key.
    Conflict, ///< The object has another version or exists already.
    TooLarge, ///< The value exceeds kMaximumValueBytes; nothing was written.
    HistoryLost, ///< The store no longer has all changes after the given revision; a new listing is needed.
    Unavailable, ///< No response; nothing was written.
    Ambiguous, ///< No response to a write that may have taken effect, or may still do so.
};

/** Name of an error in the HTTP protocol and in messages. */
std::string_view storeErrorName(StoreError error);

/** Error with the given name; empty if there is none. */
std::optional<StoreError> storeErrorFromName(std::string_view name);

template<class T>
using StoreResult = tl::expected<T, StoreError>;

} // namespace Hibiscus

#endif
