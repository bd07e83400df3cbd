#ifndef HIBISCUS_CONFIG_ROUTECONFIGURATIONDIFFERENCE_H
#define HIBISCUS_CONFIG_ROUTECONFIGURATIONDIFFERENCE_H

#include "config/routeconfiguration.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** What a new configuration would change. */
struct RouteConfigurationDifference {
    /** One line for each change: "+" added, "-" removed, "~" changed, with the values before and after. Keys appear by
     * their fingerprints. Empty if nothing changes. */
    std::vector<std::string> changes;
    /** One sentence for each thing that callers can do now and couldn't do any more. */
    std::vector<std::string> losses;
};

RouteConfigurationDifference compareRouteConfigurations(const RouteConfiguration &before,
                                                        const RouteConfiguration &after);

} // namespace Hibiscus

#endif
