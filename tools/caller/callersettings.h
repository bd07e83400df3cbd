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

/** Where the calls go. */
enum class CallerMode {
    Layered, ///< To callers listeners of daemons.
    Direct, ///< To backend servers, without resends, so that the latency the layer adds can be measured.
    Baseline, ///< To backend servers, with resends, as in a deployment without the layer.
};

/** Requests of one kind. */
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

struct CallerSettings {
    CallerMode mode = CallerMode::Layered;
    std::vector<LoadClass> classes;
    std::vector<HostAddress> targets; ///< Callers listeners.
    std::map<ServiceName, std::vector<HostAddress>> servers; ///< Backend servers, for the modes without the layer.
    std::vector<HostAddress> executions; ///< Servers whose executions are compared at the end.
    Millis duration{10000};
    double surgeFactor = 1;
    Millis surgeStart;
    Millis surgeEnd;
    std::uint64_t seed = 1;
    std::string tagPrefix; ///< Empty means one made from the seed.
    int resends = 3; ///< Resends of a request after a failure; the one for a fetched identity isn't counted.
    std::size_t maximumOutstanding = 20000; ///< Further requests are dropped by the caller, and reported.
};

/** Applies a JSON text with comments on top of @p base. The error names the member at fault. */
tl::expected<CallerSettings, std::string> parseCallerSettings(std::string_view text, CallerSettings base = {});

/** Class of a text "name,METHOD,/svc/service/path,rate[,bodyBytes[,deadlineMs]]". Only POST isn't repeatable. */
tl::expected<LoadClass, std::string> parseLoadClass(const std::string &text);

/** Adds the server of a text "service=address". False if it isn't one. */
bool addServer(CallerSettings &settings, const std::string &text);

} // namespace Hibiscus

#endif
