#ifndef HIBISCUS_BACKEND_STANDIN_EXECUTIONLOG_H
#define HIBISCUS_BACKEND_STANDIN_EXECUTIONLOG_H

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <utility>

namespace Hibiscus
{

/** Number of executions of one request. */
struct ExecutionCount {
    bool repeatable = false;
    std::uint64_t count = 0;
};

/** Counts how often each request was executed, by tag and call path, so that double runs can be found. */
class ExecutionLog
{
public:
    /**
     * Executions are appended to @p file, and those already in it are counted, so that the counts survive a crash of
     * the process. Empty for no file.
     */
    explicit ExecutionLog(const std::string &file);

    /** Counts an execution. Must be called at its start, so that one that ends in a crash is counted. */
    void add(const std::string &tag, const std::string &callPath, bool repeatable);

    /** Executions by tag and call path. */
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
