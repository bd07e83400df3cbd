#include "config/configurationdifference.h"

#include "config/entrydifference.h"
#include "config/valueformat.h"

namespace Hibiscus
{

namespace
{

Entries domainsOf(const Inventory &inventory)
{
    Entries entries;
    for (const FailureDomainEntry &domain : inventory.domains) {
        entries[domain.name.value()] = {{"region", domain.region}};
    }
    return entries;
}

Entries servicesOf(const Inventory &inventory)
{
    Entries entries;
    for (const ServiceName &service : inventory.services) {
        entries[service.value()] = {};
    }
    return entries;
}

Entries serversOf(const Inventory &inventory)
{
    Entries entries;
    for (const BackendServerEntry &server : inventory.servers) {
        entries[server.name.value()] = {{"service", server.service.value()},
                                        {"domain", server.domain.value()},
                                        {"slots", std::to_string(server.slots)},
                                        {"connections", std::to_string(server.connections)}};
    }
    return entries;
}

Entries classesOf(const Rules &rules)
{
    Entries entries;
    for (const RequestClass &entry : rules.classes) {
        entries[entry.name.value()] = {{"repeatable", entry.repeatable ? "true" : "false"},
                                       {"deadline", formatDuration(entry.deadline)}};
    }
    return entries;
}

Entries routesOf(const Rules &rules)
{
    Entries entries;
    for (const RouteRule &route : rules.routes) {
        entries[route.service.value() + " " + route.method + " " + route.pathPrefix] = {
            {"class", route.requestClass.value()}};
    }
    return entries;
}

/** Class names, most important first, separated by " > ". */
std::string classOrder(const Rules &rules)
{
    std::string text;
    for (auto entry = rules.classes.rbegin(); entry != rules.classes.rend(); ++entry) {
        text += (text.empty() ? "" : " > ") + entry->name.value();
    }
    return text;
}

} // namespace

std::vector<std::string> describeDifference(const Inventory &oldInventory, const Rules &oldRules,
                                            const Inventory &newInventory, const Rules &newRules)
{
    std::vector<std::string> lines;
    compareEntries("failure domain", domainsOf(oldInventory), domainsOf(newInventory), lines);
    compareEntries("service", servicesOf(oldInventory), servicesOf(newInventory), lines);
    compareEntries("server", serversOf(oldInventory), serversOf(newInventory), lines);
    compareEntries("class", classesOf(oldRules), classesOf(newRules), lines);
    compareScalar("class order", classOrder(oldRules), classOrder(newRules), lines);
    compareEntries("route", routesOf(oldRules), routesOf(newRules), lines);
    compareScalar("default class", oldRules.defaultClass.value(), newRules.defaultClass.value(), lines);
    return lines;
}

} // namespace Hibiscus
