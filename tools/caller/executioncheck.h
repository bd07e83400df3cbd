#ifndef HIBISCUS_CALLER_EXECUTIONCHECK_H
#define HIBISCUS_CALLER_EXECUTIONCHECK_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include <nlohmann/json_fwd.hpp>

namespace Hibiscus
{

/** Compares what servers ran with what callers were told. */
class ExecutionCheck
{
public:
    /** Adds the executions of a server, as from GET /executions. False if the text isn't such a report. */
    bool add(std::string_view text);
    /** A server whose executions could not be read, so the comparison is incomplete. */
    void addMissing(const std::string &server);

    /** Requests that ran, though the last answer to their tag says that they did not. */
    std::uint64_t falseNotRun(const std::unordered_set<std::string> &notRunTags) const;
    /** Non-repeatable requests that ran more than once, on all servers together. */
    std::uint64_t doubleRuns() const;
    nlohmann::json report(const std::unordered_set<std::string> &notRunTags) const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> once_; ///< Non-repeatable, by tag and call path.
    std::unordered_set<std::string> tags_; ///< Tags of all executions.
    std::uint64_t wrongDownstreamAnswers_ = 0;
    std::unordered_set<std::string> missing_;
};

} // namespace Hibiscus

#endif
