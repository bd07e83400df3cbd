#include "backend_standin/executionlog.h"

namespace Hibiscus
{

namespace
{

/** First column of a line in the file. */
constexpr const char *kRepeatable = "repeatable";
constexpr const char *kOnce = "once";

} // namespace

ExecutionLog::ExecutionLog(const std::string &file)
{
    if (file.empty()) {
        return;
    }
    std::ifstream earlier(file);
    std::string kind;
    std::string tag;
    std::string callPath;
    while (std::getline(earlier, kind, '\t') && std::getline(earlier, tag, '\t') && std::getline(earlier, callPath)) {
        count(tag, callPath, kind == kRepeatable);
    }
    file_.open(file, std::ios::app);
}

void ExecutionLog::add(const std::string &tag, const std::string &callPath, bool repeatable)
{
    count(tag, callPath, repeatable);
    if (file_.is_open()) {
        file_ << (repeatable ? kRepeatable : kOnce) << '\t' << tag << '\t' << callPath << '\n' << std::flush;
    }
}

void ExecutionLog::count(const std::string &tag, const std::string &callPath, bool repeatable)
{
    ExecutionCount &entry = counts_[{tag, callPath}];
    entry.repeatable = repeatable;
    ++entry.count;
}

} // namespace Hibiscus
