#ifndef HIBISCUS_CONFIG_ROUTECONFIGURATION_H
#define HIBISCUS_CONFIG_ROUTECONFIGURATION_H

#include "core/ids.h"
#include "core/millis.h"
#include "teams/teamtable.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Hibiscus
{

/** One of the services between which a route is split. */
struct RouteTarget {
    ServiceName service;
    double weight = 1; ///< Share of the route's requests, relative to the other targets.

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/** Requests to one host below one path prefix, and how they are forwarded. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    std::vector<RouteTarget> targets; ///< At least one.
    bool idempotent = false; ///< The requests may run more than once.
    Millis timeout; ///< Longest time that a caller waits for a response.
    Millis latencyTarget; ///< Response time up to which a response has its full value for the caller.
    int priority = 0; ///< 0 is the most important.
    int attempts = 1; ///< Maximum number of backend servers to which one request is sent.
    bool isPublic = false; ///< Callers need no key of a team.

    friend bool operator==(const Route &, const Route &) = default;
};

/** The operator's settings of one service. */
struct ServiceProfile {
    ServiceName name;
    std::string healthPath;
    int maximumConnections = 0; ///< Connections to one backend server, summed over all callers.

    friend bool operator==(const ServiceProfile &, const ServiceProfile &) = default;
};

/** Limits on the size of requests and on the time that callers take to send them. */
struct CallerLimits {
    std::size_t headerBytes = 16384; ///< Largest request header.
    std::size_t bodyBytes = 16U << 20U; ///< Largest request body.
    Millis headerTimeout{3000}; ///< Longest time to receive a request header.
    Millis idleTimeout{15000}; ///< A connection without traffic for this long is closed.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/** One version of the routes, services and limits of a deployment. */
struct RouteConfiguration {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    CallerLimits limits;
    TeamTable teams;

    friend bool operator==(const RouteConfiguration &, const RouteConfiguration &) = default;
};

} // namespace Hibiscus

#endif
