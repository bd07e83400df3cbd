#include "deploymentplan.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

constexpr int kPortsPerHost = 4;
constexpr int kSeedsPerDomain = 3;

/** IP address of the domain at @p index. The platform and the callers use 127.0.0.1. */
std::string domainAddress(std::size_t index)
{
    return "127.0.1." + std::to_string(index + 1);
}

} // namespace

DeploymentPlan::DeploymentPlan(const Inventory &inventory, int basePort)
{
    int port = basePort;
    for (const BackendServerEntry &server : inventory.servers) {
        const auto domain =
            std::find_if(inventory.domains.begin(), inventory.domains.end(),
                         [&server](const FailureDomainEntry &entry) { return entry.name == server.domain; });
        const std::string address = domainAddress(static_cast<std::size_t>(domain - inventory.domains.begin())) + ":";
        hosts_.push_back(
            {server, HostAddress(address + std::to_string(port)), HostAddress(address + std::to_string(port + 1)),
             HostAddress(address + std::to_string(port + 2)), HostAddress(address + std::to_string(port + 3))});
        port += kPortsPerHost;
    }
}

const std::vector<PlannedHost> &DeploymentPlan::hosts() const
{
    return hosts_;
}

std::vector<std::string> DeploymentPlan::seedsFor(const PlannedHost &host) const
{
    std::map<FailureDomainName, int> chosen;
    std::vector<std::string> seeds;
    for (const PlannedHost &candidate : hosts_) {
        if (candidate.server.name != host.server.name && chosen[candidate.server.domain]++ < kSeedsPerDomain) {
            seeds.push_back(candidate.peers.value());
        }
    }
    return seeds;
}

std::string DeploymentPlan::settingsFor(const PlannedHost &host, const HostAddress &platform) const
{
    const nlohmann::ordered_json settings{
        {"server", host.server.name.value()},
        {"domain", host.server.domain.value()},
        {"callers", host.callers.value()},
        {"local", host.local.value()},
        {"peers", host.peers.value()},
        {"backend", host.backend.value()},
        {"healthPath", "/health"},
        {"platform", platform.value()},
        {"seeds", seedsFor(host)},
        {"workers", 2},
    };
    return settings.dump(4) + "\n";
}

std::string DeploymentPlan::table() const
{
    std::ostringstream out;
    for (const PlannedHost &host : hosts_) {
        out << host.server.name.value() << ' ' << host.server.service.value() << ' ' << host.server.domain.value()
            << ' ' << host.callers.value() << ' ' << host.local.value() << ' ' << host.peers.value() << ' '
            << host.backend.value() << ' ' << host.server.slots << ' ' << host.server.connections << '\n';
    }
    return out.str();
}

} // namespace Hibiscus
