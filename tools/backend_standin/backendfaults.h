#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDFAULTS_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDFAULTS_H

#include "core/millis.h"

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

enum class HealthReport {
    Truth,
    AlwaysUp,
    AlwaysDown,
};

/** Faults of a backend server stand-in, set at run time. */
struct BackendFaults {
    double slowFactor = 1; ///< Multiplies the service time.
    double silentShare = 0; ///< Share of the connections, drawn at their first request, that never get an answer.
    bool silentRuns = true; ///< Whether requests on a silent connection are run.
    HealthReport health = HealthReport::Truth;
    Millis reportLag; ///< Age of what /health and /load report.
    double loadFactor = 1; ///< Multiplies the numbers of /load.
    bool draining = false; ///< New requests are refused, running ones complete.
};

/** Result of a change: the new faults, and the share of the open connections that go silent now. */
struct BackendFaultChange {
    BackendFaults faults;
    double silenceOpen = 0;
};

/** Applies the members of a JSON object to @p current. Empty with @p error set if it isn't valid. */
std::optional<BackendFaultChange> parseBackendFaults(std::string_view text, const BackendFaults &current,
                                                     std::string &error);

} // namespace Hibiscus

#endif
