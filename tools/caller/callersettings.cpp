#include "caller/callersettings.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view kServicePrefix = "/svc/";

void rejectUnknownMembers(const Json &object, std::initializer_list<std::string_view> known)
{
    for (const auto &entry : object.items()) {
        if (std::find(known.begin(), known.end(), entry.key()) == known.end()) {
            throw std::invalid_argument("unknown member " + entry.key());
        }
    }
}

/** Splits "/svc/<service>/<path>". */
void setTarget(LoadClass &loadClass, const std::string &target)
{
    const std::size_t slash = target.find('/', kServicePrefix.size());
    if (!target.starts_with(kServicePrefix) || slash == std::string::npos || slash == kServicePrefix.size()) {
        throw std::invalid_argument("path must be /svc/<service>/<path>, not " + target);
    }
    loadClass.service = ServiceName(target.substr(kServicePrefix.size(), slash - kServicePrefix.size()));
    loadClass.path = target.substr(slash);
}

LoadClass parseClass(const Json &object)
{
    rejectUnknownMembers(object,
                         {"name", "method", "path", "rate", "surge_factor", "body_bytes", "deadline_ms", "repeatable"});
    LoadClass loadClass;
    loadClass.name = object.at("name").get<std::string>();
    loadClass.method = object.value("method", loadClass.method);
    setTarget(loadClass, object.at("path").get<std::string>());
    loadClass.rate = object.at("rate").get<double>();
    loadClass.surgeFactor = object.value("surge_factor", 0.0);
    loadClass.bodyBytes = object.value("body_bytes", std::size_t(0));
    loadClass.deadline = Millis{object.value("deadline_ms", loadClass.deadline.value)};
    loadClass.repeatable = object.value("repeatable", loadClass.method != "POST");
    return loadClass;
}

std::vector<HostAddress> parseAddresses(const Json &list)
{
    std::vector<HostAddress> addresses;
    for (const Json &address : list) {
        addresses.emplace_back(address.get<std::string>());
    }
    return addresses;
}

CallerMode parseMode(const std::string &name)
{
    if (name == "layered") {
        return CallerMode::Layered;
    }
    if (name == "direct") {
        return CallerMode::Direct;
    }
    if (name == "baseline") {
        return CallerMode::Baseline;
    }
    throw std::invalid_argument("mode must be layered, direct or baseline, not " + name);
}

void applyMembers(const Json &object, CallerSettings &settings)
{
    rejectUnknownMembers(object,
                         {"mode", "classes", "targets", "servers", "executions", "duration_ms", "surge_factor",
                          "surge_start_ms", "surge_end_ms", "seed", "tag_prefix", "resends", "maximum_outstanding"});
    if (object.contains("mode")) {
        settings.mode = parseMode(object.at("mode").get<std::string>());
    }
    const Json classes = object.value("classes", Json::array());
    for (const Json &loadClass : classes) {
        settings.classes.push_back(parseClass(loadClass));
    }
    settings.targets = parseAddresses(object.value("targets", Json::array()));
    const Json servers = object.value("servers", Json::object());
    for (const auto &[service, addresses] : servers.items()) {
        settings.servers[ServiceName(service)] = parseAddresses(addresses);
    }
    settings.executions = parseAddresses(object.value("executions", Json::array()));
    settings.duration = Millis{object.value("duration_ms", settings.duration.value)};
    settings.surgeFactor = object.value("surge_factor", settings.surgeFactor);
    settings.surgeStart = Millis{object.value("surge_start_ms", settings.surgeStart.value)};
    settings.surgeEnd = Millis{object.value("surge_end_ms", settings.surgeEnd.value)};
    settings.seed = object.value("seed", settings.seed);
    settings.tagPrefix = object.value("tag_prefix", settings.tagPrefix);
    settings.resends = object.value("resends", settings.resends);
    settings.maximumOutstanding = object.value("maximum_outstanding", settings.maximumOutstanding);
}

} // namespace

tl::expected<CallerSettings, std::string> parseCallerSettings(std::string_view text, CallerSettings base)
{
    try {
        applyMembers(Json::parse(text, nullptr, true, true), base);
        return base;
    } catch (const std::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

tl::expected<LoadClass, std::string> parseLoadClass(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    if (parts.size() < 4 || parts.size() > 6) {
        return tl::unexpected(text + " must be name,METHOD,path,rate[,bodyBytes[,deadlineMs]]");
    }
    try {
        LoadClass loadClass;
        loadClass.name = parts[0];
        loadClass.method = parts[1];
        setTarget(loadClass, parts[2]);
        loadClass.rate = std::stod(parts[3]);
        loadClass.bodyBytes = parts.size() > 4 ? std::stoul(parts[4]) : 0;
        loadClass.deadline = parts.size() > 5 ? Millis{std::stod(parts[5])} : loadClass.deadline;
        loadClass.repeatable = loadClass.method != "POST";
        return loadClass;
    } catch (const std::exception &error) {
        return tl::unexpected(text + ": " + error.what());
    }
}

bool addServer(CallerSettings &settings, const std::string &text)
{
    const std::size_t separator = text.find('=');
    if (separator == std::string::npos || separator == 0 || separator + 1 == text.size()) {
        return false;
    }
    settings.servers[ServiceName(text.substr(0, separator))].emplace_back(text.substr(separator + 1));
    return true;
}

} // namespace Hibiscus
