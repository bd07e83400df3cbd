#include "caller/loadstats.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

void incrementWindow(std::vector<std::uint64_t> &windows, TimePoint time)
{
    const auto index = static_cast<std::size_t>(std::max(0.0, time.value) / kWindowWidth.value);
    if (windows.size() <= index) {
        windows.resize(index + 1);
    }
    ++windows[index];
}

/** Value at the quantile @p fraction, in [0, 1], of sorted values; 0 if there are none. */
double quantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

} // namespace

LoadStats::LoadStats(std::string name, Millis deadline)
    : name_(std::move(name))
    , deadline_(deadline)
{
}

void LoadStats::recordOffered(TimePoint due, bool dropped)
{
    ++offered_;
    dropped_ += dropped ? 1 : 0;
    incrementWindow(offeredByWindow_, due);
}

void LoadStats::recordResend()
{
    ++resends_;
}

void LoadStats::recordIdentityFetched()
{
    ++identitiesFetched_;
}

void LoadStats::recordEnd(CallerOutcome outcome, TimePoint due, TimePoint now)
{
    switch (outcome) {
    case CallerOutcome::Completed:
        ++completed_;
        latencies_.push_back((now - due).value);
        if (now - due > deadline_) {
            ++late_;
        } else {
            incrementWindow(completedByWindow_, now);
        }
        return;
    case CallerOutcome::Failed:
        ++failed_;
        return;
    case CallerOutcome::Wrong:
        ++wrong_;
        return;
    case CallerOutcome::NotRun:
    case CallerOutcome::IdentityRequired:
        ++notRun_;
        return;
    case CallerOutcome::Unknown:
        ++unknown_;
        return;
    case CallerOutcome::Unreachable:
        ++unreachable_;
        return;
    }
}

void LoadStats::recordNotRun(std::string tag)
{
    notRunTags_.insert(std::move(tag));
}

nlohmann::json LoadStats::report() const
{
    std::vector<double> sorted = latencies_;
    std::sort(sorted.begin(), sorted.end());
    nlohmann::json latency = nlohmann::json::object();
    latency["p50"] = quantile(sorted, 0.5);
    latency["p99"] = quantile(sorted, 0.99);
    latency["max"] = quantile(sorted, 1);
    nlohmann::json report = nlohmann::json::object();
    report["offered"] = offered_;
    report["dropped_by_caller"] = dropped_;
    report["completed"] = completed_;
    report["late"] = late_;
    report["failed"] = failed_;
    report["wrong"] = wrong_;
    report["not_run"] = notRun_;
    report["unknown"] = unknown_;
    report["unreachable"] = unreachable_;
    report["resends"] = resends_;
    report["identities_fetched"] = identitiesFetched_;
    report["latency_ms"] = std::move(latency);
    report["goodput"] = completedByWindow_;
    return report;
}

} // namespace Hibiscus
