#ifndef HIBISCUS_CTL_STATUSCOMMAND_H
#define HIBISCUS_CTL_STATUSCOMMAND_H

#include "core/ids.h"
#include "ctl/commandresult.h"
#include "ctl/daemonclient.h"
#include "platform/objectstore.h"

#include <vector>

namespace Hibiscus
{

/** Shows which version is in force where, and how daemons are doing. */
class StatusCommand
{
public:
    /** Confirmations of the current version by each failure domain. */
    static CommandResult runPlatform(ObjectStore &store);
    /** Status of each daemon; the worst exit code of all. */
    static CommandResult runDaemons(DaemonClient &client, const std::vector<HostAddress> &daemons);
    /** Both results as one. */
    static CommandResult merge(const CommandResult &platform, const CommandResult &daemons);
};

} // namespace Hibiscus

#endif
