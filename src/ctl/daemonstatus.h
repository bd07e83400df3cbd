#ifndef HIBISCUS_CTL_DAEMONSTATUS_H
#define HIBISCUS_CTL_DAEMONSTATUS_H

#include "core/ids.h"
#include "ctl/daemonclient.h"

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** The parts of a daemon's GET /status that the tool interprets. */
struct DaemonStatus {
    ServerName server; ///< "server"
    FailureDomainName domain; ///< "domain"
    bool draining = false; ///< "draining"
    std::int64_t inFlight = 0; ///< "inFlight": requests that run or wait at the server
    std::optional<ConfigVersion> configVersion; ///< "configVersion": version that the daemon has adopted
    nlohmann::json whole; ///< The answer with everything else in it.
};

/** Asks a daemon for its status. */
tl::expected<DaemonStatus, DaemonError> fetchStatus(DaemonClient &client, const HostAddress &daemon);

/** One line about a daemon. */
std::string describeStatus(const HostAddress &daemon, const DaemonStatus &status);

} // namespace Hibiscus

#endif
