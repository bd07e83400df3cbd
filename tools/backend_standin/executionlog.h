#ifndef HIBISCUS_BACKEND_STANDIN_EXECUTIONLOG_H
#define HIBISCUS_BACKEND_STANDIN_EXECUTIONLOG_H

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <utility>

namespace Hibiscus
{

/** Counts how often each request was run, by tag and call path, so that double runs are visible. */
class ExecutionLog
{
public:
    /** @p file keeps the executions beyond a crash of the process; empty for none. */
    explicit ExecutionLog(const std::string &file);

    /** Counts one execution at its start. */
    void add(const std::string &tag, const std::string &callPath);

    /** Calls @p visit with every (tag, call path) and its count. */
    template<class Visit>
    void forEach(Visit visit) const
    {
        for (const auto &[key, count] : counts_) {
            visit(key.first, key.second, count);
        }
    }

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> counts_;
    std::ofstream file_;
};

} // namespace Hibiscus

#endif
