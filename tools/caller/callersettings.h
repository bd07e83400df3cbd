#ifndef HIBISCUS_CALLER_CALLERSETTINGS_H
#define HIBISCUS_CALLER_CALLERSETTINGS_H

#include "core/ids.h"
#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Receiver of the requests, and whether they are resent. */
enum class CallerMode {
    Layered, ///< To the callers listeners of daemons, with resends.
    Direct, ///< To backend servers, without resends; the reference for the latency that the layer adds.
    Baseline, ///< To backend servers, with resends, as in a deployment without the layer.
};

/** Class of requests with a rate of its own. */
struct LoadClass {
    std::string name;
    std::string method = "GET";
    ServiceName service;
    std::string path = "/"; ///< Path at the service.
    double rate = 0; ///< Mean number of requests per second.
    double surgeFactor = 0; ///< Replaces the surge factor of the run if positive.
    std::size_t bodyBytes = 0;
    Millis deadline{2000};
    bool repeatable = true; ///< A resend of a repeatable request is a new request with a tag of its own.
};

/**
 * Settings of a run.
 *
 * The JSON file has the same names in snake case, durations with the suffix "_ms". The path of a class includes its
 * service there: "/svc/<service>/<path>".
 */
struct CallerSettings {
    CallerMode mode = CallerMode::Layered;
    std::vector<LoadClass> classes;
    std::vector<HostAddress> targets; ///< Callers listeners of daemons.
    std::map<ServiceName, std::vector<HostAddress>> servers; ///< Backend servers, for the modes without the layer.
    std::vector<HostAddress> executions; ///< Servers whose executions are compared with the outcomes at the end.
    Millis duration{10000};
    double surgeFactor = 1;
    Millis surgeStart;
    Millis surgeEnd;
    std::uint64_t seed = 1;
    std::string tagPrefix; ///< Empty for "s" and the seed.
    int resends = 3; ///< Resends of a request after a failure; sending it again with a fetched identity isn't counted.
    std::size_t maximumOutstanding = 20000; ///< Requests in progress; the caller drops and counts any further ones.
};

/** Applies the members of a JSON text with comments to @p base. The error names the invalid member. */
tl::expected<CallerSettings, std::string> parseCallerSettings(std::string_view text, CallerSettings base = {});

/** Parses "name,METHOD,/svc/service/path,rate[,bodyBytes[,deadlineMs]]". Every method but POST is repeatable. */
tl::expected<LoadClass, std::string> parseLoadClass(const std::string &text);

/** Adds the server of a text "service=address". False if the text has another form. */
bool addServer(CallerSettings &settings, const std::string &text);

} // namespace Hibiscus

#endif
