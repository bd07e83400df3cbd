#ifndef HIBISCUS_CONFIG_CONFIGURATION_H
#define HIBISCUS_CONFIG_CONFIGURATION_H

#include "config/configerror.h"
#include "config/inventory.h"
#include "config/rules.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Audit entries kept in the configuration object; older ones are found in the platform's audit objects. */
inline constexpr std::size_t kMaximumAuditEntries = 64;

/** Record of one accepted write of the configuration. */
struct AuditEntry {
    std::string changeId; ///< Drawn by the author's tool; tells a lost response from a lost write.
    std::string author;
    std::string summary; ///< Message of the author and one line per change.
    std::int64_t unixMillis = 0; ///< Time of the write by the clock of the author's host, in ms since 1970.
    ConfigVersion from;
    ConfigVersion to;

    friend bool operator==(const AuditEntry &, const AuditEntry &) = default;
};

/**
 * Content of the platform's object `config`.
 *
 * The version is that under which the platform's store keeps the object: 1 for the first configuration and one more
 * with each change. It also stands inside the object, so that it goes along with the content from daemon to daemon.
 */
struct Configuration {
    ConfigVersion version;
    Inventory inventory;
    Rules rules;
    std::vector<AuditEntry> audit; ///< Oldest first, at most kMaximumAuditEntries.

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

/** JSON text of the object `config`; inventory and rules have the shapes of their files. */
std::string serializeConfiguration(const Configuration &configuration);

/** Inverse of serializeConfiguration(); errors name the file "config". */
tl::expected<Configuration, std::vector<ConfigError>> parseConfiguration(std::string_view text);

/** JSON text of one audit entry, as the objects `audit/<version>` hold it. */
std::string serializeAuditEntry(const AuditEntry &entry);

/** Inverse of serializeAuditEntry(). */
tl::expected<AuditEntry, std::vector<ConfigError>> parseAuditEntry(std::string_view text, const std::string &file);

} // namespace Hibiscus

#endif
