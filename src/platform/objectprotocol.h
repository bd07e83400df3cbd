#ifndef HIBISCUS_PLATFORM_OBJECTPROTOCOL_H
#define HIBISCUS_PLATFORM_OBJECTPROTOCOL_H

#include "platform/objectstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** Header with the error name of an unsuccessful response. */
constexpr const char *kErrorHeader = "Platform-Error";

/** Escapes every byte other than letters, digits and "-._~/". */
std::string percentEncode(std::string_view text);
/** Inverse of percentEncode(); an invalid escape is left unchanged. */
std::string percentDecode(std::string_view text);

/** Version as an entity tag, such as "7" with its quotes. */
std::string formatVersionTag(std::uint64_t version);
std::optional<std::uint64_t> parseVersionTag(std::string_view tag);

/** Request target of an object. */
std::string objectTarget(std::string_view key);

/** Request target of all objects of a kind. */
std::string kindTarget(std::string_view kind);

/**
 * JSON text of all objects of a kind, and of a batch of changes to them. The parse functions return an empty value for
 * invalid text.
 */
std::string serializeKindListing(const ObjectListing &listing);
std::optional<ObjectListing> parseKindListing(std::string_view text);
std::string serializeChanges(const ChangeBatch &batch);
std::optional<ChangeBatch> parseChanges(std::string_view text);

/** JSON text of keys and versions; parseListing() returns an empty value for invalid text. */
std::string serializeListing(const std::vector<ListedObject> &objects);
std::optional<std::vector<ListedObject>> parseListing(std::string_view text);

/** HTTP status of an error. Ambiguous has none of its own, since it means that there is no response. */
int statusOf(StoreError error);

} // namespace Hibiscus

#endif
