#ifndef HIBISCUS_CTL_CONFIGURATIONSTORE_H
#define HIBISCUS_CTL_CONFIGURATIONSTORE_H

#include "config/configuration.h"
#include "ctl/commandresult.h"
#include "ctl/waitcontext.h"
#include "platform/objectstore.h"

#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Outcome of a write of the configuration. */
enum class WriteOutcome {
    Written,
    Conflict, ///< Another change was written first; this one was not written and won't be.
    Unavailable, ///< Nothing was written.
    Unknown, ///< Responses were lost until the deadline; the change may have been written or may be written later.
};

/** Reads and writes the platform's object `config/deployment`. */
class ConfigurationStore
{
public:
    explicit ConfigurationStore(ObjectStore &store);

    /** Current configuration; empty if there is none. Its version is that of the stored object. The error is the
     * result that the command returns. */
    tl::expected<std::optional<Configuration>, CommandResult> load();

    /**
     * Writes @p next, whose last audit entry names the change, if the stored version is one less than its version.
     *
     * After a lost response the same conditional write is sent again until a response arrives: it can take effect only
     * once, and the change id in the stored object shows whether that was this change. An attempt that arrives late
     * fails, since the version has changed.
     */
    WriteOutcome write(const Configuration &next, TimePoint deadline, const WaitContext &waitContext);

private:
    /** Whether the stored audit entries contain the change; empty if they can't be read. */
    std::optional<bool> contains(const AuditEntry &change);

    ObjectStore &store_;
};

} // namespace Hibiscus

#endif
