#ifndef HIBISCUS_DAEMON_STATUSPAGE_H
#define HIBISCUS_DAEMON_STATUSPAGE_H

#include "daemon/routingtable.h"
#include "daemon/sharedtables.h"

#include <string>

namespace Hibiscus
{

struct StatusSources {
    const DaemonIdentity &self;
    SharedTables &tables;
    Guarded<RoutingTable> &routing;
    bool draining = false;
    bool serverHealthy = true;
    std::size_t inFlight = 0;
};

/** JSON text of GET /status; docs/interface.md describes its fields. */
std::string formatStatusPage(const StatusSources &sources);

} // namespace Hibiscus

#endif
