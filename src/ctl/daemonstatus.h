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
    std::int64_t inFlight = 0; ///< Requests that the daemon has not finished yet.
    std::optional<ConfigVersion> configVersion; ///< Version that the daemon has adopted.
    nlohmann::json body; ///< The complete response body.
};

/** Requests and parses the status of a daemon. */
tl::expected<DaemonStatus, DaemonError> fetchStatus(DaemonClient &client, const HostAddress &daemon);

/** Formats the status of a daemon as one line. */
std::string describeStatus(const HostAddress &daemon, const DaemonStatus &status);

} // namespace Hibiscus

#endif
