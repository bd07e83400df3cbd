#ifndef HIBISCUS_EXCHANGE_DIRECTORYMESSAGE_H
#define HIBISCUS_EXCHANGE_DIRECTORYMESSAGE_H

#include "directory/serverdirectory.h"
#include "quarantine/crashreport.h"

#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

namespace Hibiscus
{

/**
 * State of the deployment that one daemon sends to another. A request identifies the state that its sender has, and
 * contains what only the sender can know. The reply contains what the sender of the request is missing.
 */
struct DirectoryMessage {
    HostAddress sender; ///< Peers listener of the sender.
    StoreRevision configurationRevision; ///< Of the configuration that the sender uses.
    std::uint64_t configurationDigest = 0; ///< Of its text, by configurationDigest(); 0 for none.
    std::string configuration; ///< Its text as the store holds it; empty if it is not included.
    std::uint64_t digest = 0; ///< Of all directory entries that the sender knows, by directoryDigest().
    std::vector<DirectoryEntry> servers;
    std::vector<CrashReport> crashes;
};

/** Value of the "message" parameter and of the result of the method "exchange". */
Json::Value encodeDirectoryMessage(const DirectoryMessage &message);

/** Reads what encodeDirectoryMessage() returns; empty if a field has another type or a registration is invalid. */
std::optional<DirectoryMessage> decodeDirectoryMessage(const Json::Value &value);

/** Digest of the text of a configuration; 0 if there is none. */
std::uint64_t configurationDigest(const std::string &text);

/** Digest of a directory; equal for equal entries, whatever their order. */
std::uint64_t directoryDigest(const ServerDirectory &directory);

} // namespace Hibiscus

#endif
