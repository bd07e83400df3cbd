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

/** Compares the executions on the servers with the outcomes that callers got. */
class ExecutionCheck
{
public:
    /** Adds the executions of a server from the body of GET /executions. False if @p text is not such a body. */
    bool add(std::string_view text);
    /** Records a server whose executions could not be read, so that the report shows an incomplete comparison. */
    void addUnreadServer(const std::string &server);

    /** Number of requests that were executed although the last response to their tag said that they were not. */
    std::uint64_t falseNotRun(const std::unordered_set<std::string> &notRunTags) const;
    /** Number of non-repeatable requests that were executed more than once, over all servers. */
    std::uint64_t doubleRuns() const;
    nlohmann::json report(const std::unordered_set<std::string> &notRunTags) const;

private:
    /** Number of executions of non-repeatable requests, by tag and call path. */
    std::map<std::pair<std::string, std::string>, std::uint64_t> nonRepeatableRuns_;
    std::unordered_set<std::string> tags_; ///< Tags of all executions.
    std::uint64_t wrongDownstreamResponses_ = 0;
    std::unordered_set<std::string> unreadServers_;
};

} // namespace Hibiscus

#endif
