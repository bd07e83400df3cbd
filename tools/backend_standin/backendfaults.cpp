#include "backend_standin/backendfaults.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

HealthReport parseHealth(const std::string &name)
{
    if (name == "truth") {
        return HealthReport::Actual;
    }
    if (name == "up") {
        return HealthReport::AlwaysUp;
    }
    if (name == "down") {
        return HealthReport::AlwaysDown;
    }
    throw std::invalid_argument("health must be truth, up or down, not " + name);
}

void applyMember(const std::string &name, const Json &value, BackendFaultChange &change)
{
    if (name == "slow_factor") {
        change.faults.slowFactor = value.get<double>();
    } else if (name == "silent_share") {
        change.faults.silentShare = value.get<double>();
    } else if (name == "silent_runs") {
        change.faults.executeSilentRequests = value.get<bool>();
    } else if (name == "silence_open") {
        change.silencedShare = value.get<double>();
    } else if (name == "health") {
        change.faults.health = parseHealth(value.get<std::string>());
    } else if (name == "report_lag_ms") {
        change.faults.reportLag = Millis{value.get<double>()};
    } else if (name == "load_factor") {
        change.faults.loadFactor = value.get<double>();
    } else if (name == "drain") {
        change.faults.draining = value.get<bool>();
    } else {
        throw std::invalid_argument("unknown fault " + name);
    }
}

} // namespace

std::optional<BackendFaultChange> parseBackendFaults(std::string_view text, const BackendFaults &current,
                                                     std::string &error)
{
    BackendFaultChange change{current, 0};
    try {
        const Json object = Json::parse(text);
        for (const auto &[name, value] : object.items()) {
            applyMember(name, value, change);
        }
        return change;
    } catch (const std::exception &problem) {
        error = problem.what();
        return std::nullopt;
    }
}

} // namespace Hibiscus
