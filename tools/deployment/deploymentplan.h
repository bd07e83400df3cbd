#ifndef HIBISCUS_DEPLOYMENT_DEPLOYMENTPLAN_H
#define HIBISCUS_DEPLOYMENT_DEPLOYMENTPLAN_H

#include "config/inventory.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** A backend server and the loopback addresses of its host. */
struct PlannedHost {
    BackendServerEntry server;
    HostAddress callers;
    HostAddress local;
    HostAddress peers;
    HostAddress backend;
};

/**
 * Assigns loopback addresses to the servers of an inventory. Each failure domain has its own IP address, so that a
 * fault can isolate it, and each host has four ports.
 */
class DeploymentPlan
{
public:
    DeploymentPlan(const Inventory &inventory, int basePort);

    const std::vector<PlannedHost> &hosts() const;

    /** Text of the settings file of @p host, with up to three other hosts of each failure domain as seeds. */
    std::string settingsFor(const PlannedHost &host, const HostAddress &platform) const;

    /** One line per host: name, service, domain, callers, local, peers, backend, slots, connections. */
    std::string table() const;

private:
    std::vector<std::string> seedsFor(const PlannedHost &host) const;

    std::vector<PlannedHost> hosts_;
};

} // namespace Hibiscus

#endif
