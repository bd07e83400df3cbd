#include "backend_standin/backendsettings.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

void rejectUnknownMembers(const Json &object, std::initializer_list<std::string_view> known)
{
    for (const auto &entry : object.items()) {
        if (std::find(known.begin(), known.end(), entry.key()) == known.end()) {
            throw std::invalid_argument("unknown member " + entry.key());
        }
    }
}

template<class T>
void read(const Json &object, const char *name, T &target)
{
    if (object.contains(name)) {
        target = object.at(name).get<T>();
    }
}

void read(const Json &object, const char *name, Millis &target)
{
    read(object, name, target.value);
}

void read(const Json &object, const char *name, HostAddress &target)
{
    target = HostAddress(object.value(name, target.value()));
}

ServiceTimeSettings parseServiceTime(const Json &object, ServiceTimeSettings settings)
{
    rejectUnknownMembers(object, {"distribution", "mean_ms", "sigma"});
    const std::string distribution = object.value("distribution", "log-normal");
    if (distribution == "fixed") {
        settings.distribution = ServiceTimeDistribution::Fixed;
    } else if (distribution == "exponential") {
        settings.distribution = ServiceTimeDistribution::Exponential;
    } else if (distribution == "log-normal") {
        settings.distribution = ServiceTimeDistribution::LogNormal;
    } else {
        throw std::invalid_argument("distribution must be fixed, exponential or log-normal, not " + distribution);
    }
    read(object, "mean_ms", settings.mean);
    read(object, "sigma", settings.sigma);
    return settings;
}

DownstreamCall parseCall(const Json &object)
{
    rejectUnknownMembers(object, {"service", "method", "path"});
    return {ServiceName(object.at("service").get<std::string>()), object.value("method", "GET"),
            object.value("path", "/")};
}

BackendRoute parseRoute(const Json &object)
{
    rejectUnknownMembers(object, {"method", "path_prefix", "repeatable", "mean_ms", "mode", "calls"});
    BackendRoute route;
    read(object, "method", route.method);
    read(object, "path_prefix", route.pathPrefix);
    if (object.contains("repeatable")) {
        route.repeatable = object.at("repeatable").get<bool>();
    }
    read(object, "mean_ms", route.meanServiceTime);
    const std::string mode = object.value("mode", "sequential");
    if (mode != "sequential" && mode != "parallel") {
        throw std::invalid_argument("mode must be sequential or parallel, not " + mode);
    }
    route.parallel = mode == "parallel";
    for (const Json &call : object.value("calls", Json::array())) {
        route.calls.push_back(parseCall(call));
    }
    return route;
}

void applyMembers(const Json &object, BackendSettings &settings)
{
    rejectUnknownMembers(object,
                         {"name", "service", "listen", "slots", "connections", "queue", "seed", "service_time",
                          "cold_start_ms", "cold_start_factor", "answer_bytes", "local_listener", "direct",
                          "direct_retries", "downstream_timeout_ms", "log_repeatable", "execution_file", "routes"});
    read(object, "name", settings.name);
    settings.service = ServiceName(object.value("service", settings.service.value()));
    read(object, "listen", settings.listen);
    read(object, "slots", settings.slots);
    read(object, "connections", settings.connections);
    read(object, "queue", settings.queue);
    read(object, "seed", settings.seed);
    if (object.contains("service_time")) {
        settings.serviceTime = parseServiceTime(object.at("service_time"), settings.serviceTime);
    }
    read(object, "cold_start_ms", settings.coldStart);
    read(object, "cold_start_factor", settings.coldStartFactor);
    read(object, "answer_bytes", settings.paddingBytes);
    read(object, "local_listener", settings.localListener);
    const Json direct = object.value("direct", Json::object());
    for (const auto &[service, addresses] : direct.items()) {
        for (const Json &address : addresses) {
            settings.direct[ServiceName(service)].emplace_back(address.get<std::string>());
        }
    }
    read(object, "direct_retries", settings.directRetries);
    read(object, "downstream_timeout_ms", settings.downstreamTimeout);
    read(object, "log_repeatable", settings.logRepeatable);
    read(object, "execution_file", settings.executionFile);
    for (const Json &route : object.value("routes", Json::array())) {
        settings.routes.push_back(parseRoute(route));
    }
}

} // namespace

tl::expected<BackendSettings, std::string> parseBackendSettings(std::string_view text, BackendSettings base)
{
    try {
        applyMembers(Json::parse(text, nullptr, true, true), base);
        return base;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

BackendRoute routeFor(const BackendSettings &settings, std::string_view method, std::string_view path)
{
    const auto found = std::find_if(settings.routes.begin(), settings.routes.end(), [&](const BackendRoute &route) {
        return (route.method.empty() || route.method == method) && path.starts_with(route.pathPrefix);
    });
    return found == settings.routes.end() ? BackendRoute{} : *found;
}

bool isRepeatable(const BackendRoute &route, std::string_view method)
{
    return route.repeatable.value_or(method != "POST");
}

} // namespace Hibiscus
