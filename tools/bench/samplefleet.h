#ifndef HIBISCUS_BENCH_SAMPLEFLEET_H
#define HIBISCUS_BENCH_SAMPLEFLEET_H

#include "config/configuration.h"

#include <cstddef>

namespace Hibiscus
{

/** Size of a generated deployment. */
struct FleetSize {
    int domains = 6;
    int serversPerDomain = 150;
    int services = 39;
    int routesPerService = 3;
    int auditEntries = static_cast<int>(kMaximumAuditEntries);
};

/**
 * Generates the configuration of a deployment, with names as long as those of examples/kitami. Each service has servers
 * in every domain.
 */
Configuration sampleConfiguration(const FleetSize &size, ConfigVersion version);

} // namespace Hibiscus

#endif
