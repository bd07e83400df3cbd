#ifndef HIBISCUS_DAEMON_ATTEMPTQUALITY_H
#define HIBISCUS_DAEMON_ATTEMPTQUALITY_H

#include "daemon/callrequest.h"
#include "daemon/callscopetable.h"

#include <optional>

namespace Hibiscus
{

/** Key under which the own service time of such calls is recorded. */
ServiceName ownTimeKey(const CallRequest &call);

/** Whether the local backend server failed an attempt through no fault of the calls below it; empty if the attempt's
 * end says nothing about the server. */
std::optional<bool> serverFailed(const CallResult &result, const ScopeSummary &summary);

} // namespace Hibiscus

#endif
