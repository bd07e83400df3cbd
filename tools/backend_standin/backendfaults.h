#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDFAULTS_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDFAULTS_H

#include "core/millis.h"

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

/** State that /health reports. */
enum class HealthReport {
    Actual,
    AlwaysUp,
    AlwaysDown,
};

/** Faults of a backend server stand-in, set at run time. */
struct BackendFaults {
    double slowFactor = 1; ///< Multiplies the service time.
    double silentShare = 0; ///< Share of the connections, drawn at their first request, that never get a response.
    bool executeSilentRequests = true; ///< Whether requests on a silent connection are executed.
    HealthReport health = HealthReport::Actual;
    Millis reportLag; ///< Age of the state that /health and /load report.
    double loadFactor = 1; ///< Multiplies the numbers of /load.
    bool draining = false; ///< New requests are refused, running ones complete.
};

/** Parsed body of POST /faults. */
struct BackendFaultChange {
    BackendFaults faults; ///< Faults from now on.
    double silencedShare = 0; ///< Share of the open connections that become silent now.
};

/** Applies the members of a JSON object to @p current. Empty if the text isn't valid; @p error then has the reason. */
std::optional<BackendFaultChange> parseBackendFaults(std::string_view text, const BackendFaults &current,
                                                     std::string &error);

} // namespace Hibiscus

#endif
