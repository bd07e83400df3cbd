#ifndef HIBISCUS_DEPLOYMENT_DEPLOYMENTPLAN_H
#define HIBISCUS_DEPLOYMENT_DEPLOYMENTPLAN_H

#include "config/inventory.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** Addresses of one backend server host on this machine. */
struct PlannedHost {
    BackendServerEntry server;
    HostAddress callers;
    HostAddress local;
    HostAddress peers;
    HostAddress backend;
};

/**
 * Places every server of an inventory on loopback addresses: each failure domain gets an address of its own, so that a
 * fault can cut it off, and each host four ports.
 */
class DeploymentPlan
{
public:
    DeploymentPlan(const Inventory &inventory, int basePort);

    const std::vector<PlannedHost> &hosts() const;

    /** Text of the settings file of @p host; up to three hosts of each failure domain are its seeds. */
    std::string settingsFor(const PlannedHost &host, const HostAddress &platform) const;

    /** One line per host: name, service, domain, callers, local, peers, backend, slots, connections. */
    std::string table() const;

private:
    std::vector<std::string> seedsFor(const PlannedHost &host) const;

    std::vector<PlannedHost> hosts_;
};

} // namespace Hibiscus

#endif
