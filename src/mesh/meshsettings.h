#ifndef HIBISCUS_MESH_MESHSETTINGS_H
#define HIBISCUS_MESH_MESHSETTINGS_H

#include "config/configerror.h"
#include "core/ids.h"
#include "core/millis.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Limit on the retries of requests to a service, summed over all daemons. */
struct RetryBudgetSettings {
    double ratio = 0.2; ///< Retries per request.
    Millis window{10000}; ///< Period over which the ratio is measured.
    double slack = 50; ///< Retries in each window that are allowed in addition to the ratio.
};

/** Bounds on what the clients of a daemon hold together; 0 for the default. */
struct ClientSettings {
    std::int64_t heldBytes = 0;
    std::int64_t connections = 0;
};

/** Settings of a daemon that serves routes beside a backend server that registers itself. */
struct MeshSettings {
    std::string host; ///< Name of the host.
    FailureDomainName domain;
    ServiceName service; ///< Of the backend server beside the daemon.
    HostAddress callers; ///< Listener for callers and for the calls of the backend server.
    HostAddress ready; ///< Listener for readiness probes.
    HostAddress checkIns; ///< Listener for the heartbeats of the backend server.
    HostAddress peers; ///< Listener for other daemons.
    HostAddress metrics; ///< Listener for metrics; empty for none.
    HostAddress backend; ///< Address of the backend server.
    HostAddress store; ///< Address of the platform's object API.
    Millis gracePeriod{6000}; ///< From SIGTERM to the end of the process.
    Millis serverLostAfter{10000}; ///< A server that refuses connections for this long counts as lost for good.
    Millis checkInTimeout{1000}; ///< Time for which a backend server waits for the response to a heartbeat.
    RetryBudgetSettings retryBudget;
    ClientSettings clients;
};

/** Reads the settings: JSON with comments. Unknown members are errors. */
tl::expected<MeshSettings, std::vector<ConfigError>> parseMeshSettings(std::string_view text, const std::string &file);

/** Whether a settings text is for a mesh daemon, that is, whether its member "mode" is "mesh". */
bool isMeshSettings(std::string_view text);

} // namespace Hibiscus

#endif
