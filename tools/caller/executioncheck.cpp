#include "caller/executioncheck.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

/** Number of examples in a report. */
constexpr std::size_t kSamples = 10;

} // namespace

bool ExecutionCheck::add(std::string_view text)
{
    try {
        const Json report = Json::parse(text);
        for (const Json &entry : report.at("executions")) {
            const auto tag = entry.at("tag").get<std::string>();
            tags_.insert(tag);
            if (!entry.at("repeatable").get<bool>()) {
                once_[{tag, entry.at("path").get<std::string>()}] += entry.at("count").get<std::uint64_t>();
            }
        }
        wrongDownstreamAnswers_ += report.at("wrong_downstream_answers").get<std::uint64_t>();
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

void ExecutionCheck::addMissing(const std::string &server)
{
    missing_.insert(server);
}

std::uint64_t ExecutionCheck::falseNotRun(const std::unordered_set<std::string> &notRunTags) const
{
    return static_cast<std::uint64_t>(std::count_if(notRunTags.begin(), notRunTags.end(),
                                                    [this](const std::string &tag) { return tags_.contains(tag); }));
}

std::uint64_t ExecutionCheck::doubleRuns() const
{
    return static_cast<std::uint64_t>(
        std::count_if(once_.begin(), once_.end(), [](const auto &entry) { return entry.second > 1; }));
}

Json ExecutionCheck::report(const std::unordered_set<std::string> &notRunTags) const
{
    Json doubles = Json::array();
    for (const auto &[key, count] : once_) {
        if (count > 1 && doubles.size() < kSamples) {
            doubles.push_back(key.first + ": " + key.second);
        }
    }
    Json falseTags = Json::array();
    for (const std::string &tag : notRunTags) {
        if (tags_.contains(tag) && falseTags.size() < kSamples) {
            falseTags.push_back(tag);
        }
    }
    Json result = Json::object();
    result["false_not_run"] = falseNotRun(notRunTags);
    result["false_not_run_samples"] = std::move(falseTags);
    result["double_runs"] = doubleRuns();
    result["double_run_samples"] = std::move(doubles);
    result["wrong_downstream_answers"] = wrongDownstreamAnswers_;
    result["servers_not_read"] = missing_;
    return result;
}

} // namespace Hibiscus
