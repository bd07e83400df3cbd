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

/** Audit entries in the object `config/deployment` and, for older ones, in the objects `audit/<version>`. */
class AuditLog
{
public:
    explicit AuditLog(ObjectStore &store);

    /** Entry in the object `audit/<version>`; empty if the object doesn't exist or can't be parsed.
     * Errors: Unavailable. */
    StoreResult<std::optional<AuditEntry>> archived(ConfigVersion version);

    /** Writes the entry to its object `audit/<version>`, unless that exists. Errors: TooLarge, Unavailable, Ambiguous
     * if every response was lost. */
    StoreResult<void> archive(const AuditEntry &entry);

    /** The entries that led from version @p after to @p current, newest first. Examines at most @p limit versions and
     * skips those without a readable entry. Errors: Unavailable. */
    StoreResult<std::vector<AuditEntry>> entriesAfter(const Configuration &current, ConfigVersion after,
                                                      std::size_t limit);

    /** Writes the full summary of a change to the object `change/<change id>`, unless that exists. Errors as for
     * archive(). */
    StoreResult<void> storeFullSummary(const std::string &changeId, const std::string &summary);
    /** Summary that storeFullSummary() wrote; empty if there is none. Errors: Unavailable. */
    StoreResult<std::optional<std::string>> fullSummary(const std::string &changeId);

private:
    /** Creates an object; succeeds if it exists already. */
    StoreResult<void> createIfAbsent(const std::string &key, const std::string &value);

    ObjectStore &store_;
};

/** Lines with the versions, time (UTC), author, change id and content of an entry. */
std::vector<std::string> describeAuditEntry(const AuditEntry &entry);

/** The same as JSON. */
nlohmann::json auditEntryDetails(const AuditEntry &entry);

} // namespace Hibiscus

#endif
