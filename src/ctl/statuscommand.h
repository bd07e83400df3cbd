#ifndef HIBISCUS_CTL_STATUSCOMMAND_H
#define HIBISCUS_CTL_STATUSCOMMAND_H

#include "core/ids.h"
#include "ctl/commandresult.h"
#include "ctl/daemonclient.h"
#include "platform/objectstore.h"

#include <vector>

namespace Hibiscus
{

/** Shows the accepted version, the registered servers and the status of daemons. */
class StatusCommand
{
public:
    /** Version of the configuration that the platform holds, and the registered servers. */
    static CommandResult runPlatform(ObjectStore &store);
    /** Status of each daemon; the exit code is the highest of all daemons. */
    static CommandResult runDaemons(DaemonClient &client, const std::vector<HostAddress> &daemons);
    /** Combines both results; the exit code is the higher one. */
    static CommandResult merge(const CommandResult &platform, const CommandResult &daemons);
};

} // namespace Hibiscus

#endif
