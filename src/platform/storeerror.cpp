#include "platform/storeerror.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr std::array<std::pair<StoreError, std::string_view>, 6> kNames{{
    {StoreError::NotFound, "not-found"},
    {StoreError::Conflict, "conflict"},
    {StoreError::TooLarge, "too-large"},
    {StoreError::HistoryLost, "history-lost"},
    {StoreError::Unavailable, "unavailable"},
    {StoreError::Ambiguous, "ambiguous"},
}};

} // namespace

std::string_view storeErrorName(StoreError error)
{
    return std::find_if(kNames.begin(), kNames.end(), [error](const auto &entry) { return entry.first == error; })
        ->second;
}

std::optional<StoreError> storeErrorFromName(std::string_view name)
{
    const auto *found =
        std::find_if(kNames.begin(), kNames.end(), [name](const auto &entry) { return entry.second == name; });
    if (found == kNames.end()) {
        return std::nullopt;
    }
    return found->first;
}

} // namespace Hibiscus
