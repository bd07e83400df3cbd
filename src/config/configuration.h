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

/** Audit entries kept in the configuration object; older ones are only in the platform's audit objects. */
inline constexpr std::size_t kMaximumAuditEntries = 64;

/** Record of one accepted write of the configuration. */
struct AuditEntry {
    std::string changeId; ///< Random id; shows whether a write whose response was lost has been stored.
    std::string author;
    std::string summary; ///< The author's message, then one line per change.
    std::int64_t unixMillis = 0; ///< Time of the write by the clock of the author's host, in ms since 1970.
    ConfigVersion from; ///< Version that the write replaced; 0 for the first configuration.
    ConfigVersion to; ///< Version that the write created.

    friend bool operator==(const AuditEntry &, const AuditEntry &) = default;
};

/**
 * Content of the platform's object `config`.
 *
 * The version is the object's version in the platform's store: 1 for the first configuration, incremented by each
 * change. The object also contains it, so that daemons that forward the content forward its version with it.
 */
struct Configuration {
    ConfigVersion version;
    Inventory inventory;
    Rules rules;
    std::vector<AuditEntry> audit; ///< Oldest first, at most kMaximumAuditEntries.

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

/** Whether @p later was made from @p earlier, as far as its audit entries reach back. */
bool isPredecessor(const Configuration &earlier, const Configuration &later);

/** JSON text of the object `config`; inventory and rules have the format of their files. */
std::string serializeConfiguration(const Configuration &configuration);

/** Inverse of serializeConfiguration(); errors name the file "config". */
tl::expected<Configuration, std::vector<ConfigError>> parseConfiguration(std::string_view text);

/** JSON text of one audit entry, the value of an object `audit/<version>`. */
std::string serializeAuditEntry(const AuditEntry &entry);

/** Inverse of serializeAuditEntry(); errors name @p file. */
tl::expected<AuditEntry, std::vector<ConfigError>> parseAuditEntry(std::string_view text, const std::string &file);

} // namespace Hibiscus

#endif
