#ifndef HIBISCUS_BACKEND_STANDIN_EXECUTIONLOG_H
#define HIBISCUS_BACKEND_STANDIN_EXECUTIONLOG_H

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <utility>

namespace Hibiscus
{

struct ExecutionCount {
    bool repeatable = false;
    std::uint64_t count = 0;
};

/** Counts how often each request was run, by tag and call path, so that double runs are visible. */
class ExecutionLog
{
public:
    /** @p file keeps the executions beyond a crash of the process; empty for none. */
    explicit ExecutionLog(const std::string &file);

    /** Counts one execution at its start. */
    void add(const std::string &tag, const std::string &callPath, bool repeatable);

    /** Counts by tag and call path. */
    const std::map<std::pair<std::string, std::string>, ExecutionCount> &counts() const
    {
        return counts_;
    }

private:
    void count(const std::string &tag, const std::string &callPath, bool repeatable);

    std::map<std::pair<std::string, std::string>, ExecutionCount> counts_;
    std::ofstream file_;
};

} // namespace Hibiscus

#endif
