#ifndef HIBISCUS_DAEMON_LOADREPORT_H
#define HIBISCUS_DAEMON_LOADREPORT_H

#include "daemon/callrequest.h"
#include "daemon/sharedtables.h"

namespace Hibiscus
{

/** Adds to @p result what the daemon where the request began needs to know of the local backend server: how much more
 * it takes, and how well it works. */
void addLoadReport(CallResult &result, SharedTables &tables);

/** Removes what is meant for other daemons, before @p result is sent to a caller. */
void removeLoadReport(CallResult &result);

} // namespace Hibiscus

#endif
