#include "platform_standin/callcounter.h"

#include <nlohmann/json.hpp>

namespace Hibiscus
{

void CallCounter::count(const std::string &kind, const std::string &clientAddress)
{
    const std::lock_guard lock(mutex_);
    ++total_;
    ++byKind_[kind];
    ++byClient_[clientAddress];
}

void CallCounter::countRefused()
{
    const std::lock_guard lock(mutex_);
    ++refused_;
}

void CallCounter::watchStarted()
{
    const std::lock_guard lock(mutex_);
    ++waitingWatches_;
}

void CallCounter::watchEnded()
{
    const std::lock_guard lock(mutex_);
    --waitingWatches_;
}

std::string CallCounter::report() const
{
    const std::lock_guard lock(mutex_);
    const nlohmann::json report{
        {"total", total_},
        {"calls", byKind_},
        {"clients", byClient_},
        {"refused_connections", refused_},
        {"waiting_watches", waitingWatches_},
    };
    return report.dump();
}

} // namespace Hibiscus
