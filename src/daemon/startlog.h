#ifndef HIBISCUS_DAEMON_STARTLOG_H
#define HIBISCUS_DAEMON_STARTLOG_H

#include "core/ids.h"
#include "daemon/sharedtables.h"

namespace Hibiscus
{

/** Logs how the local backend server got to its full share after a start, and what its first requests got. To be called
 * every 10 ms. */
void logStartProgress(const ServerName &server, SharedTables &tables);

} // namespace Hibiscus

#endif
