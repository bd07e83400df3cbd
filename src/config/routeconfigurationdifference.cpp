#include "config/routeconfigurationdifference.h"

#include "config/entrydifference.h"
#include "config/routetable.h"
#include "config/valueformat.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

std::string formatTargets(const Route &route)
{
    std::string text;
    for (const RouteTarget &target : route.targets) {
        text += (text.empty() ? "" : "+") + target.service.value();
        text += route.targets.size() > 1 ? fmt::format(" ({:g})", target.weight) : "";
    }
    return text;
}

const char *yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

Entries routesOf(const RouteConfiguration &configuration)
{
    Entries entries;
    for (const Route &route : configuration.routes) {
        entries[route.name] = {{"at", normalizeHost(route.host) + route.pathPrefix},
                               {"to", formatTargets(route)},
                               {"idempotent", yesOrNo(route.idempotent)},
                               {"public", yesOrNo(route.isPublic)},
                               {"timeout", formatDuration(route.timeout)},
                               {"latency target", formatDuration(route.latencyTarget)},
                               {"priority", std::to_string(route.priority)},
                               {"attempts", std::to_string(route.attempts)}};
    }
    return entries;
}

Entries servicesOf(const RouteConfiguration &configuration)
{
    Entries entries;
    for (const ServiceProfile &service : configuration.services) {
        entries[service.name.value()] = {{"health path", service.healthPath},
                                         {"connections", std::to_string(service.maximumConnections)}};
    }
    return entries;
}

std::set<std::string> fingerprintsOf(const Team &team)
{
    std::set<std::string> fingerprints;
    for (const ApiKey &key : team.keys) {
        fingerprints.insert(key.fingerprint());
    }
    return fingerprints;
}

std::string formatAllotment(const Allotment &allotment)
{
    return allotment.isUnlimited() ? "unlimited"
                                   : fmt::format("{:g}/s, burst {:g}", allotment.rate.perSecond, allotment.burst);
}

std::string formatKeyNeed(const TeamTable &teams)
{
    return teams.needsKeys() ? "needed" : "not needed";
}

Entries teamsOf(const RouteConfiguration &configuration)
{
    Entries entries;
    for (const Team &team : configuration.teams.all()) {
        entries[team.name.value()] = {{"keys", fmt::format("{}", fmt::join(fingerprintsOf(team), " "))},
                                      {"priority", std::to_string(team.priority)},
                                      {"allotment", formatAllotment(team.allotment)}};
    }
    return entries;
}

void compareLimits(const CallerLimits &before, const CallerLimits &after, std::vector<std::string> &lines)
{
    compareScalar("header bytes", std::to_string(before.headerBytes), std::to_string(after.headerBytes), lines);
    compareScalar("body bytes", std::to_string(before.bodyBytes), std::to_string(after.bodyBytes), lines);
    compareScalar("header timeout", formatDuration(before.headerTimeout), formatDuration(after.headerTimeout), lines);
    compareScalar("idle timeout", formatDuration(before.idleTimeout), formatDuration(after.idleTimeout), lines);
}

template<class Entry>
const Entry *findNamed(const std::vector<Entry> &entries, const decltype(Entry::name) &name)
{
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&name](const Entry &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

bool isLower(const Allotment &after, const Allotment &before)
{
    if (after.isUnlimited()) {
        return false;
    }
    return before.isUnlimited() || after.rate < before.rate || after.burst < before.burst;
}

void describeLostRoutes(const RouteConfiguration &before, const RouteConfiguration &after,
                        std::vector<std::string> &losses)
{
    const RouteTable table(after);
    for (const Route &route : before.routes) {
        const std::string place = normalizeHost(route.host) + route.pathPrefix;
        const Route *next = table.find(route.host, route.pathPrefix);
        if (next == nullptr) {
            losses.push_back("requests to " + place + " get 404");
            continue;
        }
        if (route.isPublic && !next->isPublic && after.teams.needsKeys()) {
            losses.push_back("requests to " + place + " without a key get 401");
        }
        if (route.idempotent && !next->idempotent) {
            losses.push_back("requests to " + place + " aren't repeated any more when a server fails");
        }
        if (next->timeout < route.timeout) {
            losses.push_back("requests to " + place + " that take longer than " + formatDuration(next->timeout)
                             + " end without a response");
        }
    }
}

void describeLostKeys(const RouteConfiguration &before, const RouteConfiguration &after,
                      std::vector<std::string> &losses)
{
    for (const Team &team : before.teams.all()) {
        const Team *next = findNamed(after.teams.all(), team.name);
        const std::set<std::string> kept = next == nullptr ? std::set<std::string>{} : fingerprintsOf(*next);
        for (const std::string &fingerprint : fingerprintsOf(team)) {
            if (!kept.contains(fingerprint)) {
                losses.push_back("callers of " + team.name.value() + " with the key " + fingerprint + " get 401");
            }
        }
        if (!team.keys.empty() && kept.empty()) {
            losses.push_back("all callers of " + team.name.value() + " get 401");
        }
        if (next != nullptr && isLower(next->allotment, team.allotment)) {
            losses.push_back("callers of " + team.name.value() + " get 429 beyond " + formatAllotment(next->allotment));
        }
    }
    if (!before.teams.needsKeys() && after.teams.needsKeys()) {
        losses.push_back("callers without a key get 401");
    }
}

} // namespace

RouteConfigurationDifference compareRouteConfigurations(const RouteConfiguration &before,
                                                        const RouteConfiguration &after)
{
    RouteConfigurationDifference difference;
    compareEntries("route", routesOf(before), routesOf(after), difference.changes);
    compareEntries("service", servicesOf(before), servicesOf(after), difference.changes);
    compareScalar("keys", formatKeyNeed(before.teams), formatKeyNeed(after.teams), difference.changes);
    compareEntries("team", teamsOf(before), teamsOf(after), difference.changes);
    compareLimits(before.limits, after.limits, difference.changes);
    describeLostRoutes(before, after, difference.losses);
    describeLostKeys(before, after, difference.losses);
    return difference;
}

} // namespace Hibiscus
