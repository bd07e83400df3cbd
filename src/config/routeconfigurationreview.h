#ifndef HIBISCUS_CONFIG_ROUTECONFIGURATIONREVIEW_H
#define HIBISCUS_CONFIG_ROUTECONFIGURATIONREVIEW_H

#include "config/routeconfiguration.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** Something in a valid configuration that its author can hardly have meant. */
struct ConfigurationFinding {
    enum class Kind {
        NeverMatches, ///< The entry has no effect: no request reaches it, or no caller can use it.
        Contradiction, ///< Two values of the configuration can't both hold.
    };

    Kind kind = Kind::NeverMatches;
    std::string entry; ///< Kind and name of the entry, such as "route browse".
    std::string text; ///< What is wrong, as a sentence without a full stop.

    friend bool operator==(const ConfigurationFinding &, const ConfigurationFinding &) = default;
};

/** Name of a kind in the output of commands. */
const char *findingKindName(ConfigurationFinding::Kind kind);

/** Findings in the order of the configuration: routes, services, teams, limits. */
std::vector<ConfigurationFinding> reviewConfiguration(const RouteConfiguration &configuration);

} // namespace Hibiscus

#endif
