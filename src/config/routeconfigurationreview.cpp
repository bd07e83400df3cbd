#include "config/routeconfigurationreview.h"

#include "config/routetable.h"
#include "config/valueformat.h"

#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

using Kind = ConfigurationFinding::Kind;

/** Collects the findings on one configuration. */
class Review
{
public:
    explicit Review(const RouteConfiguration &configuration)
        : configuration_(configuration)
    {
    }

    std::vector<ConfigurationFinding> run();

private:
    void add(Kind kind, std::string entry, std::string text);
    void reviewRoute(const Route &route);
    void reviewPlace(const Route &route);
    void reviewTargets(const Route &route);
    void reviewTimes(const Route &route);
    void reviewServices();
    void reviewTeam(const Team &team);
    void reviewTeams();
    void reviewLimits();

    const RouteConfiguration &configuration_;
    std::map<std::pair<std::string, std::string>, std::string> places_; ///< Route by host and prefix.
    std::set<ServiceName> profiles_;
    std::set<ServiceName> reached_;
    std::vector<ConfigurationFinding> findings_;
};

void Review::add(Kind kind, std::string entry, std::string text)
{
    findings_.push_back({kind, std::move(entry), std::move(text)});
}

void Review::reviewPlace(const Route &route)
{
    const std::string entry = "route " + route.name;
    const std::string &prefix = route.pathPrefix;
    if (route.host.empty()) {
        add(Kind::NeverMatches, entry, "it has no host");
    }
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
        add(Kind::NeverMatches, entry, "the path prefix \"" + prefix + "\" doesn't start and end with a slash");
    }
    if (prefix.find('?') != std::string::npos) {
        add(Kind::NeverMatches, entry, "the path prefix contains a query, which is not compared");
    }
    const auto [place, isNew] = places_.insert({{normalizeHost(route.host), prefix}, route.name});
    if (!isNew) {
        add(Kind::NeverMatches, entry,
            "route " + place->second + " has the same host and path prefix, and only one of them is used");
    }
}

void Review::reviewTargets(const Route &route)
{
    const std::string entry = "route " + route.name;
    double total = 0;
    for (const RouteTarget &target : route.targets) {
        reached_.insert(target.service);
        total += target.weight;
        if (!profiles_.contains(target.service)) {
            add(Kind::Contradiction, entry,
                "it leads to " + target.service.value() + ", which is not among the services");
        }
        if (target.weight < 0) {
            add(Kind::Contradiction, entry, "the weight of " + target.service.value() + " is negative");
        } else if (target.weight == 0) {
            add(Kind::NeverMatches, entry, target.service.value() + " has the weight 0 and gets no requests");
        }
    }
    if (total <= 0) {
        add(Kind::Contradiction, entry, "no target has a weight above 0");
    }
}

void Review::reviewTimes(const Route &route)
{
    const std::string entry = "route " + route.name;
    if (route.timeout <= Millis{0}) {
        add(Kind::NeverMatches, entry, "the timeout leaves no time for a response");
    } else if (route.timeout < route.latencyTarget) {
        add(Kind::Contradiction, entry,
            "the timeout of " + formatDuration(route.timeout) + " is shorter than the latency target of "
                + formatDuration(route.latencyTarget));
    }
    if (!route.idempotent && route.attempts > 1 && route.timeout <= route.latencyTarget) {
        add(Kind::Contradiction, entry, "several attempts are allowed, but no time is left for a second one");
    }
}

void Review::reviewRoute(const Route &route)
{
    reviewPlace(route);
    reviewTargets(route);
    reviewTimes(route);
}

void Review::reviewServices()
{
    for (const ServiceProfile &service : configuration_.services) {
        const std::string entry = "service " + service.name.value();
        if (!reached_.contains(service.name)) {
            add(Kind::NeverMatches, entry, "no route leads to it");
        }
        if (service.maximumConnections < 1) {
            add(Kind::Contradiction, entry, "it allows no connection");
        }
        if (service.healthPath.empty() || service.healthPath.front() != '/') {
            add(Kind::Contradiction, entry,
                "the health path \"" + service.healthPath + "\" doesn't start with a slash");
        }
    }
}

void Review::reviewTeam(const Team &team)
{
    const std::string entry = "team " + team.name.value();
    if (team.keys.empty()) {
        add(Kind::NeverMatches, entry, "it has no key, so none of its callers is let in");
    }
    const Allotment &allotment = team.allotment;
    if (!allotment.isUnlimited() && allotment.burst < 1) {
        add(Kind::Contradiction, entry,
            fmt::format("the burst of {:g} lets no request in, whatever the rate", allotment.burst));
    }
    if (allotment.isUnlimited() && allotment.burst > 0) {
        add(Kind::NeverMatches, entry, "it has a burst but no rate, so nothing is limited");
    }
}

void Review::reviewTeams()
{
    const std::vector<Team> &teams = configuration_.teams.all();
    if (configuration_.teams.needsKeys() && teams.empty()) {
        add(Kind::NeverMatches, "teams", "there is none, so only callers of public routes are let in");
    }
    for (const Team &team : teams) {
        reviewTeam(team);
    }
}

void Review::reviewLimits()
{
    const CallerLimits &limits = configuration_.limits;
    if (limits.headerTimeout > limits.idleTimeout) {
        add(Kind::Contradiction, "limits",
            "the header timeout of " + formatDuration(limits.headerTimeout) + " is longer than the idle timeout of "
                + formatDuration(limits.idleTimeout));
    }
    if (limits.headerBytes == 0) {
        add(Kind::Contradiction, "limits", "no request header is allowed");
    }
}

std::vector<ConfigurationFinding> Review::run()
{
    for (const ServiceProfile &service : configuration_.services) {
        profiles_.insert(service.name);
    }
    for (const Route &route : configuration_.routes) {
        reviewRoute(route);
    }
    reviewServices();
    reviewTeams();
    reviewLimits();
    return std::move(findings_);
}

} // namespace

const char *findingKindName(Kind kind)
{
    return kind == Kind::NeverMatches ? "never matches" : "contradiction";
}

std::vector<ConfigurationFinding> reviewConfiguration(const RouteConfiguration &configuration)
{
    return Review(configuration).run();
}

} // namespace Hibiscus
