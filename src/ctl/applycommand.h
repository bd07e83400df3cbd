#ifndef HIBISCUS_CTL_APPLYCOMMAND_H
#define HIBISCUS_CTL_APPLYCOMMAND_H

#include "config/configuration.h"
#include "ctl/commandresult.h"
#include "ctl/configurationfiles.h"
#include "ctl/waitcontext.h"
#include "platform/objectstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus
{

struct ApplyRequest {
    ConfigurationFiles files;
    std::optional<ConfigVersion>
        base; ///< Version on which the files are based; not needed for the first configuration.
    std::string author;
    std::string message;
    std::string changeId; ///< Unique id, which distinguishes this change from others with the same content.
    std::int64_t unixMillis = 0; ///< Time of the change in ms since 1970, UTC.
    Millis timeout; ///< Time limit for retries after lost responses.
};

/**
 * Writes a new configuration. It is accepted when the platform confirms the write: daemons that can reach the platform
 * or another daemon adopt it within seconds.
 *
 * The files replace the whole configuration, so they would undo a change that their author has not seen. Except for the
 * first configuration, the request therefore has to name the version on which the files are based, and any change after
 * that version is a conflict, however long ago it was written.
 */
class ApplyCommand
{
public:
    ApplyCommand(ObjectStore &store, const WaitContext &waitContext);

    CommandResult run(const ApplyRequest &request);

private:
    CommandResult write(const ApplyRequest &request, const Configuration &current,
                        const std::vector<std::string> &changes, TimePoint deadline);
    CommandResult reportConflict(ConfigVersion base, TimePoint deadline);
    /** Moves the oldest audit entries, if there are too many for the object, and the full text of a long summary into
     * objects of their own. */
    StoreResult<void> archiveBeforeWrite(Configuration &next);

    ObjectStore &store_;
    WaitContext waitContext_;
};

} // namespace Hibiscus

#endif
