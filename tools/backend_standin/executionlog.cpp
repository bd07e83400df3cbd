#include "backend_standin/executionlog.h"

namespace Hibiscus
{

ExecutionLog::ExecutionLog(const std::string &file)
{
    if (file.empty()) {
        return;
    }
    std::ifstream earlier(file);
    std::string tag;
    std::string callPath;
    while (std::getline(earlier, tag, '\t') && std::getline(earlier, callPath)) {
        ++counts_[{tag, callPath}];
    }
    file_.open(file, std::ios::app);
}

void ExecutionLog::add(const std::string &tag, const std::string &callPath)
{
    ++counts_[{tag, callPath}];
    if (file_.is_open()) {
        file_ << tag << '\t' << callPath << '\n' << std::flush;
    }
}

} // namespace Hibiscus
