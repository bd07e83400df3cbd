#include "soak/soakrun.h"

#include "core/chronotime.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

/** Interval of SoakDeployment::tick(). */
constexpr Millis kTickInterval{50};
/** Time limit for applying a configuration after the start, also on a busy machine. */
constexpr Millis kStartLimit{60000};
/** Time between the last fault and the load without faults. Restarts, watches of the store and suspicions end within
 * it. */
constexpr Millis kRecoveryTime{6000};
constexpr Millis kFaultFreeLoadDuration{3000};
/** How much longer than its duration a load may run, since its last requests wait until their deadlines. */
constexpr Millis kLoadOvertimeLimit{90000};
/** Share of each class of the load without faults that must complete. It is low, since the machine may be busy with
 * other work. */
constexpr double kMinimumCompletedShare = 0.5;

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

std::vector<std::string> findViolations(const nlohmann::json &result)
{
    std::vector<std::string> violations;
    const auto mustBeZero = [&](const char *pointer, const char *description) {
        const nlohmann::json::json_pointer location(pointer);
        if (!result.contains(location)) {
            violations.push_back(fmt::format("{}: no value at {}", description, pointer));
        } else if (result.at(location) != 0) {
            violations.push_back(fmt::format("{}: {}", description, result.at(location).dump()));
        }
    };
    mustBeZero("/executions/double_runs", "requests that ran twice");
    mustBeZero("/executions/false_not_run", "executed requests that were reported as not run");
    mustBeZero("/executions/wrong_downstream_answers", "wrong responses to servers");
    mustBeZero("/wrong_answers", "wrong responses to callers");
    const nlohmann::json::json_pointer unread("/executions/servers_not_read");
    if (result.contains(unread) && !result.at(unread).empty()) {
        violations.push_back("servers whose executions could not be read: " + result.at(unread).dump());
    }
    return violations;
}

SoakRun::SoakRun(SoakSettings settings, std::uint64_t seed, Millis duration)
    : settings_(std::move(settings))
    , seed_(seed)
    , duration_(duration)
    , deployment_(context_, settings_)
{
}

std::vector<std::string> SoakRun::run()
{
    if (const auto started = deployment_.start(); !started) {
        return {started.error()};
    }
    if (!waitUntil(kStartLimit, [this] { return applyRules(); })) {
        return {"the first configuration could not be applied"};
    }
    const std::vector<Fault> faults = planFaults(seed_, deployment_.hostCount(), duration_);
    std::vector<std::string> violations = findViolations(load(duration_, 2 * seed_, faults));
    wait(kRecoveryTime);
    const nlohmann::json faultFreeResult = load(kFaultFreeLoadDuration, 2 * seed_ + 1, {});
    for (const std::string &text : findViolations(faultFreeResult)) {
        violations.push_back("after the faults: " + text);
    }
    const nlohmann::json classes =
        faultFreeResult.is_object() ? faultFreeResult.value("classes", nlohmann::json::object()) : nlohmann::json();
    for (const auto &[name, counts] : classes.items()) {
        if (counts.value("completed", 0.0) < kMinimumCompletedShare * counts.value("offered", 0.0)) {
            violations.push_back(fmt::format("class {} has not recovered: {}", name, counts.dump().substr(0, 200)));
        }
    }
    violations.insert(violations.end(), deployment_.unexpectedExits().begin(), deployment_.unexpectedExits().end());
    return violations;
}

void SoakRun::wait(Millis duration)
{
    waitUntil(duration, [] { return false; });
}

bool SoakRun::waitUntil(Millis limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + toChrono(limit);
    while (std::chrono::steady_clock::now() < end) {
        context_.restart();
        context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(toChrono(kTickInterval)));
        deployment_.tick();
        if (condition()) {
            return true;
        }
    }
    return false;
}

bool SoakRun::applyRules()
{
    ChildProcess command(deployment_.nextRulesCommand(), settings_.runFolder + "/rules.log");
    waitUntil(kStartLimit, [&] { return command.status().has_value(); });
    return command.status() == 0;
}

nlohmann::json SoakRun::load(Millis duration, std::uint64_t seed, const std::vector<Fault> &faults)
{
    const std::string resultFile = fmt::format("{}/load-{}.json", settings_.runFolder, seed);
    ChildProcess caller(deployment_.loadCommand(duration, seed), resultFile);
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    const auto schedule = [&](Millis time, std::function<void()> action) {
        timers.push_back(std::make_unique<asio::steady_timer>(context_, toChrono(time)));
        timers.back()->async_wait([action = std::move(action)](const asio::error_code &error) {
            if (!error) {
                action();
            }
        });
    };
    for (const Fault &fault : faults) {
        schedule(fault.start, [this, fault] {
            appendToFaultLog(fmt::format("{} {} ms on {}", faultName(fault.kind), fault.duration.value, fault.host));
            deployment_.inject(fault);
        });
        schedule(fault.start + fault.duration, [this, fault] { deployment_.undo(fault); });
    }
    if (!waitUntil(duration + kLoadOvertimeLimit, [&] { return caller.status().has_value(); })) {
        appendToFaultLog("the load program has not ended in time");
    }
    const std::string text = readFile(resultFile);
    const std::size_t begin = text.find('{');
    return nlohmann::json::parse(begin == std::string::npos ? "" : text.substr(begin), nullptr, false);
}

void SoakRun::appendToFaultLog(const std::string &text) const
{
    std::ofstream(settings_.runFolder + "/faults.log", std::ios::app) << text << '\n';
}

} // namespace Hibiscus
