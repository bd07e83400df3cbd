#include "config/configurationdifference.h"

#include "config/valueformat.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Named values of one entry, in the order in which they are printed. */
using Fields = std::vector<std::pair<std::string, std::string>>;
/** Entries of one kind by key. */
using Entries = std::map<std::string, Fields>;

std::string formatFields(const Fields &fields)
{
    std::string text;
    for (const auto &[name, value] : fields) {
        text += (text.empty() ? ": " : ", ") + name + " " + value;
    }
    return text;
}

std::string formatChangedFields(const Fields &before, const Fields &after)
{
    std::string text;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            text += (text.empty() ? ": " : ", ") + before[i].first + " " + before[i].second + " -> " + after[i].second;
        }
    }
    return text;
}

/** Appends one line for each entry that was removed, changed or added. */
void compareEntries(const std::string &kind, const Entries &before, const Entries &after,
                    std::vector<std::string> &lines)
{
    for (const auto &[key, fields] : before) {
        const auto found = after.find(key);
        if (found == after.end()) {
            lines.push_back("- " + kind + " " + key + formatFields(fields));
        } else if (found->second != fields) {
            lines.push_back("~ " + kind + " " + key + formatChangedFields(fields, found->second));
        }
    }
    for (const auto &[key, fields] : after) {
        if (!before.contains(key)) {
            lines.push_back("+ " + kind + " " + key + formatFields(fields));
        }
    }
}

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

void compareScalar(const std::string &name, const std::string &before, const std::string &after,
                   std::vector<std::string> &lines)
{
    if (before == after) {
        return;
    }
    lines.push_back("~ " + name + ": " + (before.empty() ? "none" : before) + " -> " + after);
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
