#include "caller/executioncheck.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

/** Largest number of examples in a report for each kind of fault. */
constexpr std::size_t kMaximumSamples = 10;

} // namespace

bool ExecutionCheck::add(std::string_view text)
{
    try {
        const Json report = Json::parse(text);
        for (const Json &entry : report.at("executions")) {
            const auto tag = entry.at("tag").get<std::string>();
            tags_.insert(tag);
            if (!entry.at("repeatable").get<bool>()) {
                nonRepeatableRuns_[{tag, entry.at("path").get<std::string>()}] +=
                    entry.at("count").get<std::uint64_t>();
            }
        }
        wrongDownstreamResponses_ += report.at("wrong_downstream_answers").get<std::uint64_t>();
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

void ExecutionCheck::addUnreadServer(const std::string &server)
{
    unreadServers_.insert(server);
}

std::uint64_t ExecutionCheck::falseNotRun(const std::unordered_set<std::string> &notRunTags) const
{
    return static_cast<std::uint64_t>(std::count_if(notRunTags.begin(), notRunTags.end(),
                                                    [this](const std::string &tag) { return tags_.contains(tag); }));
}

std::uint64_t ExecutionCheck::doubleRuns() const
{
    return static_cast<std::uint64_t>(std::count_if(nonRepeatableRuns_.begin(), nonRepeatableRuns_.end(),
                                                    [](const auto &entry) { return entry.second > 1; }));
}

Json ExecutionCheck::report(const std::unordered_set<std::string> &notRunTags) const
{
    Json doubleRunSamples = Json::array();
    for (const auto &[key, count] : nonRepeatableRuns_) {
        if (count > 1 && doubleRunSamples.size() < kMaximumSamples) {
            doubleRunSamples.push_back(key.first + ": " + key.second);
        }
    }
    Json falseNotRunSamples = Json::array();
    for (const std::string &tag : notRunTags) {
        if (tags_.contains(tag) && falseNotRunSamples.size() < kMaximumSamples) {
            falseNotRunSamples.push_back(tag);
        }
    }
    Json result = Json::object();
    result["false_not_run"] = falseNotRun(notRunTags);
    result["false_not_run_samples"] = std::move(falseNotRunSamples);
    result["double_runs"] = doubleRuns();
    result["double_run_samples"] = std::move(doubleRunSamples);
    result["wrong_downstream_answers"] = wrongDownstreamResponses_;
    result["servers_not_read"] = unreadServers_;
    return result;
}

} // namespace Hibiscus
