#ifndef HIBISCUS_CTL_AUDITLOG_H
#define HIBISCUS_CTL_AUDITLOG_H

#include "config/configuration.h"
#include "platform/objectstore.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Audit entries in the object `config` and, for older ones, in the objects `audit/<version>`. */
class AuditLog
{
public:
    explicit AuditLog(ObjectStore &store);

    /** Entry of the object `audit/<version>`; empty if there is none that can be read as one. */
    StoreResult<std::optional<AuditEntry>> archived(ConfigVersion version);

    /** Makes sure that the entry has an object of its own. Does nothing if it has one. */
    StoreResult<void> archive(const AuditEntry &entry);

    /** The entries that led from version @p after to @p current, newest first, at most @p limit. Versions of which no
     * entry is left are skipped. Errors: Unavailable. */
    StoreResult<std::vector<AuditEntry>> entriesAfter(const Configuration &current, ConfigVersion after,
                                                      std::size_t limit);

    /** Keeps the whole summary of a change in an object of its own. */
    StoreResult<void> keepFullSummary(const std::string &changeId, const std::string &summary);
    /** Summary that keepFullSummary() kept; empty if there is none. */
    StoreResult<std::optional<std::string>> fullSummary(const std::string &changeId);

private:
    StoreResult<void> createOnce(const std::string &key, const std::string &value);

    ObjectStore &store_;
};

/** Lines that tell version, time (UTC), author, change id and content of an entry. */
std::vector<std::string> describeAuditEntry(const AuditEntry &entry);

/** The same for programs. */
nlohmann::json auditEntryDetails(const AuditEntry &entry);

} // namespace Hibiscus

#endif
