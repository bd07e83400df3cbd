#include "bench/samplefleet.h"

#include <algorithm>
#include <string>

namespace Hibiscus
{

namespace
{

/** Names are as long as those of the example deployments ("raft-catalogue", "kussharo-a"). */
std::string serviceName(int service)
{
    return "raft-catalog" + std::to_string(10 + service);
}

std::string domainName(int domain)
{
    return "kussharo-" + std::string(1, static_cast<char>('a' + domain));
}

void addServices(Configuration &configuration, const FleetSize &size)
{
    Rules &rules = configuration.rules;
    rules.classes = {{ClassName("browsing"), 0, true, Millis{2000}},
                     {ClassName("waivers"), 1, false, Millis{5000}},
                     {ClassName("bookings"), 2, false, Millis{5000}},
                     {ClassName("deposits"), 3, false, Millis{10000}}};
    rules.defaultClass = ClassName("bookings");
    for (int service = 0; service < size.services; ++service) {
        const ServiceName name(serviceName(service));
        configuration.inventory.services.push_back(name);
        for (int route = 0; route < size.routesPerService; ++route) {
            const std::string prefix = route == 0 ? "/" : "/deposits-" + std::to_string(route);
            rules.routes.push_back({name, "POST", prefix, rules.classes[static_cast<std::size_t>(route % 4)].name});
        }
    }
}

void addServers(Configuration &configuration, const FleetSize &size)
{
    for (int domain = 0; domain < size.domains; ++domain) {
        const FailureDomainName name(domainName(domain));
        configuration.inventory.domains.push_back({name, domain % 2 == 0 ? "hokkaido" : "honshu"});
        for (int server = 0; server < size.serversPerDomain; ++server) {
            const int service = server % size.services;
            const int number = domain * size.serversPerDomain + server;
            configuration.inventory.servers.push_back({ServerName(serviceName(service) + "-" + std::to_string(number)),
                                                       ServiceName(serviceName(service)), name, 140, 900});
        }
    }
}

} // namespace

Configuration sampleConfiguration(const FleetSize &size, ConfigVersion version)
{
    Configuration configuration;
    configuration.version = version;
    // Every service needs a server, otherwise the configuration is invalid.
    FleetSize valid = size;
    valid.services = std::min(size.services, size.serversPerDomain);
    addServices(configuration, valid);
    addServers(configuration, valid);
    for (int entry = 0; entry < size.auditEntries; ++entry) {
        AuditEntry audit;
        audit.changeId = "change-0123456789abcdef-" + std::to_string(entry);
        audit.author = "operator@kitami";
        audit.summary = "raise slots after the memory upgrade\nserver raft-catalog10-3: slots 120 -> 140";
        audit.unixMillis = 1'796'000'000'000 + entry;
        audit.from = ConfigVersion(version.value() > 1 ? version.value() - 1 : 0);
        audit.to = version;
        configuration.audit.push_back(audit);
    }
    return configuration;
}

} // namespace Hibiscus
