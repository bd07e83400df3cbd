#ifndef HIBISCUS_MESH_DIRECTORYROUTES_H
#define HIBISCUS_MESH_DIRECTORYROUTES_H

#include "daemon/routingtable.h"
#include "directory/serverdirectory.h"
#include "mesh/meshsettings.h"

namespace Hibiscus
{

/** Updates @p table to the servers of @p directory, and its retry limits to their number. */
void updateRoutes(RoutingTable &table, const ServerDirectory &directory, const RetryBudgetSettings &budget);

} // namespace Hibiscus

#endif
