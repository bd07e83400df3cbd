#ifndef HIBISCUS_MESH_CLIENTGUARD_H
#define HIBISCUS_MESH_CLIENTGUARD_H

#include "config/routeconfiguration.h"
#include "http/clientbudget.h"
#include "http/httpserver.h"
#include "mesh/meshsettings.h"

#include <cstddef>
#include <string>

namespace Hibiscus
{

/** Bounds for the clients of a process that may open @p descriptors; for what the settings leave out, the defaults. */
ClientLimits clientLimits(const ClientSettings &settings, std::size_t descriptors);

/** Descriptors that this process may open. */
std::size_t maximumDescriptors();

/** Limits of the operator's configuration in the form for a listener of @p share. */
HttpServerLimits listenerLimits(const CallerLimits &limits, ClientShare share);

/** What the clients of a daemon hold, in the Prometheus text exposition format. */
std::string clientMetrics(const ClientBudget &budget);

} // namespace Hibiscus

#endif
