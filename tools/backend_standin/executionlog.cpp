#include "backend_standin/executionlog.h"

namespace Hibiscus
{

namespace
{

/** Kind of a request: the first column of a line in the file. Tag and call path follow, separated by tabs. */
constexpr const char *kRepeatable = "repeatable";
constexpr const char *kNonRepeatable = "once";

} // namespace

ExecutionLog::ExecutionLog(const std::string &file)
{
    if (file.empty()) {
        return;
    }
    std::ifstream previous(file);
    std::string kind;
    std::string tag;
    std::string callPath;
    while (std::getline(previous, kind, '\t') && std::getline(previous, tag, '\t')
           && std::getline(previous, callPath)) {
        count(tag, callPath, kind == kRepeatable);
    }
    file_.open(file, std::ios::app);
}

void ExecutionLog::add(const std::string &tag, const std::string &callPath, bool repeatable)
{
    count(tag, callPath, repeatable);
    if (file_.is_open()) {
        file_ << (repeatable ? kRepeatable : kNonRepeatable) << '\t' << tag << '\t' << callPath << '\n' << std::flush;
    }
}

void ExecutionLog::count(const std::string &tag, const std::string &callPath, bool repeatable)
{
    ExecutionCount &entry = counts_[{tag, callPath}];
    entry.repeatable = repeatable;
    ++entry.count;
}

} // namespace Hibiscus
