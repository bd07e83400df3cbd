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

constexpr Millis kTick{50};
/** Longest time until a first configuration is in force on an idle or a busy machine. */
constexpr Millis kStartLimit{60000};
/** From the last fault to the calm load: restarts, watches of the store and suspicions have ended by then. */
constexpr Millis kSettleTime{6000};
constexpr Millis kCalmLoad{3000};
/** What a load may take beyond its duration: deadlines of the last requests. */
constexpr Millis kLoadLimit{90000};
/** Share of the calm load that must complete. Low, since the machine may be busy with other work. */
constexpr double kRecoveredShare = 0.5;

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

std::vector<std::string> brokenPromises(const nlohmann::json &result)
{
    std::vector<std::string> broken;
    const auto mustBeZero = [&](const char *pointer, const char *meaning) {
        const nlohmann::json::json_pointer place(pointer);
        if (!result.contains(place)) {
            broken.push_back(fmt::format("{}: no figure at {}", meaning, pointer));
        } else if (result.at(place) != 0) {
            broken.push_back(fmt::format("{}: {}", meaning, result.at(place).dump()));
        }
    };
    mustBeZero("/executions/double_runs", "requests that ran twice");
    mustBeZero("/executions/false_not_run", "requests said not to have run that ran");
    mustBeZero("/executions/wrong_downstream_answers", "wrong answers to servers");
    mustBeZero("/wrong_answers", "wrong answers to callers");
    const nlohmann::json::json_pointer unread("/executions/servers_not_read");
    if (result.contains(unread) && !result.at(unread).empty()) {
        broken.push_back("executions not read: " + result.at(unread).dump());
    }
    return broken;
}

SoakRun::SoakRun(SoakPlaces places, std::uint64_t seed, Millis duration)
    : places_(std::move(places))
    , seed_(seed)
    , duration_(duration)
    , deployment_(context_, places_)
{
}

std::vector<std::string> SoakRun::run()
{
    if (const auto started = deployment_.start(); !started) {
        return {started.error()};
    }
    if (!waitUntil(kStartLimit, [this] { return applyRules(); })) {
        return {"the first configuration was not accepted"};
    }
    const std::vector<Fault> faults = planFaults(seed_, deployment_.hostCount(), duration_);
    std::vector<std::string> broken = brokenPromises(load(duration_, 2 * seed_, faults));
    wait(kSettleTime);
    const nlohmann::json calm = load(kCalmLoad, 2 * seed_ + 1, {});
    for (const std::string &text : brokenPromises(calm)) {
        broken.push_back("after the faults: " + text);
    }
    const nlohmann::json classes =
        calm.is_object() ? calm.value("classes", nlohmann::json::object()) : nlohmann::json();
    for (const auto &[name, figures] : classes.items()) {
        if (figures.value("completed", 0.0) < kRecoveredShare * figures.value("offered", 0.0)) {
            broken.push_back(fmt::format("class {} has not recovered: {}", name, figures.dump().substr(0, 200)));
        }
    }
    broken.insert(broken.end(), deployment_.unexpectedEnds().begin(), deployment_.unexpectedEnds().end());
    return broken;
}

void SoakRun::wait(Millis duration)
{
    waitUntil(duration, [] { return false; });
}

bool SoakRun::waitUntil(Millis limit, const std::function<bool()> &isReached)
{
    const auto end = std::chrono::steady_clock::now() + toChrono(limit);
    while (std::chrono::steady_clock::now() < end) {
        context_.restart();
        context_.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(toChrono(kTick)));
        deployment_.tick();
        if (isReached()) {
            return true;
        }
    }
    return false;
}

bool SoakRun::applyRules()
{
    ChildProcess command(deployment_.nextRules(), places_.folder + "/rules.log");
    waitUntil(kStartLimit, [&] { return command.status().has_value(); });
    return command.status() == 0;
}

nlohmann::json SoakRun::load(Millis duration, std::uint64_t seed, const std::vector<Fault> &faults)
{
    const std::string resultFile = fmt::format("{}/load-{}.json", places_.folder, seed);
    ChildProcess caller(deployment_.loadCommand(duration, seed), resultFile);
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    const auto at = [&](Millis time, std::function<void()> step) {
        timers.push_back(std::make_unique<asio::steady_timer>(context_, toChrono(time)));
        timers.back()->async_wait([step = std::move(step)](const asio::error_code &error) {
            if (!error) {
                step();
            }
        });
    };
    for (const Fault &fault : faults) {
        at(fault.at, [this, fault] {
            note(fmt::format("{} {} ms on {}", faultName(fault.kind), fault.length.value, fault.host));
            deployment_.begin(fault);
        });
        at(fault.at + fault.length, [this, fault] { deployment_.end(fault); });
    }
    if (!waitUntil(duration + kLoadLimit, [&] { return caller.status().has_value(); })) {
        note("the load has not ended");
    }
    const std::string text = readFile(resultFile);
    const std::size_t begin = text.find('{');
    return nlohmann::json::parse(begin == std::string::npos ? "" : text.substr(begin), nullptr, false);
}

void SoakRun::note(const std::string &text) const
{
    std::ofstream(places_.folder + "/faults.log", std::ios::app) << text << '\n';
}

} // namespace Hibiscus
