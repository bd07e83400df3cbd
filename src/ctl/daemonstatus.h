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

/** The parts of a daemon's GET /status (docs/interface.md) that the tool interprets. */
struct DaemonStatus {
    ServerName server;
    FailureDomainName domain;
    bool draining = false;
    std::int64_t inFlight = 0; ///< Requests that the daemon still has to see through.
    std::optional<ConfigVersion> configVersion; ///< Version that the daemon has adopted.
    nlohmann::json whole; ///< The answer with everything else in it.
};

/** Asks a daemon for its status. */
tl::expected<DaemonStatus, DaemonError> fetchStatus(DaemonClient &client, const HostAddress &daemon);

/** One line about a daemon. */
std::string describeStatus(const HostAddress &daemon, const DaemonStatus &status);

} // namespace Hibiscus

#endif
