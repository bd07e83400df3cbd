#ifndef HIBISCUS_BACKEND_STANDIN_BACKENDSETTINGS_H
#define HIBISCUS_BACKEND_STANDIN_BACKENDSETTINGS_H

#include "backend_standin/servicetime.h"
#include "core/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** A call that a server makes to another service while it executes a request. */
struct DownstreamCall {
    ServiceName service;
    std::string method = "GET";
    std::string path = "/";
};

/** How requests of a method and path prefix are executed. */
struct BackendRoute {
    std::string method; ///< Empty matches every method.
    std::string pathPrefix = "/";
    std::optional<bool> repeatable; ///< Without it, every method but POST is repeatable.
    Millis meanServiceTime; ///< 0 means the mean of the server.
    bool parallel = false; ///< Whether the calls are made in parallel; otherwise one after another.
    std::vector<DownstreamCall> calls;
};

/**
 * Settings of a backend server stand-in.
 *
 * The JSON file has the same names in snake case, durations with the suffix "_ms". Three names differ there:
 * paddingBytes is "answer_bytes", and in a route meanServiceTime is "mean_ms" and parallel is "mode" ("parallel" or
 * "sequential").
 */
struct BackendSettings {
    std::string name = "backend";
    ServiceName service{"service"};
    HostAddress listen{"127.0.0.1:0"};
    int slots = 100;
    std::size_t connections = 1700;
    int queue = -1; ///< Requests that may wait for a slot before more are shed; negative means as many as slots.
    std::uint64_t seed = 1;
    ServiceTimeSettings serviceTime;
    Millis coldStart; ///< Time from the start during which service times are multiplied by coldStartFactor.
    double coldStartFactor = 3;
    std::size_t paddingBytes = 0; ///< Size of the padding in each response body.
    HostAddress localListener; ///< Local listener of the daemon, for downstream calls.
    /** Backend servers of each service, to which downstream calls go instead of to the daemon; for measurements without
     * daemons. Empty if the calls go to the daemon. */
    std::map<ServiceName, std::vector<HostAddress>> direct;
    int directRetries = 3; ///< Retries of a failed downstream call that doesn't go to the daemon.
    Millis downstreamTimeout{30000};
    bool logRepeatable = false; ///< Whether executions of repeatable requests are counted too.
    std::string executionFile; ///< Gets each execution appended, so that the counts survive a crash; empty for none.
    std::vector<BackendRoute> routes;

    int queueLimit() const
    {
        return queue < 0 ? slots : queue;
    }
};

/** Applies the members of a JSON text with comments to @p base. The error names the invalid member. */
tl::expected<BackendSettings, std::string> parseBackendSettings(std::string_view text, BackendSettings base = {});

/** First matching route; without a match, the default route, which makes no calls. */
BackendRoute routeFor(const BackendSettings &settings, std::string_view method, std::string_view path);

bool isRepeatable(const BackendRoute &route, std::string_view method);

} // namespace Hibiscus

#endif
