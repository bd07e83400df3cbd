#include "directory/leavingservers.h"

#include <algorithm>

namespace Hibiscus
{

LeavingServers::LeavingServers(std::size_t maximum)
    : maximum_(maximum)
{
}

bool LeavingServers::record(const ServerName &name, std::int64_t startedAt, bool hasLeft)
{
    const auto known = std::find_if(processes_.begin(), processes_.end(), [&](const Process &process) {
        return process.name == name && process.startedAt == startedAt;
    });
    if (known != processes_.end()) {
        const bool isNew = hasLeft && !known->hasLeft;
        known->hasLeft = known->hasLeft || hasLeft;
        return isNew;
    }
    if (processes_.size() >= maximum_) {
        processes_.erase(processes_.begin());
    }
    processes_.push_back({name, startedAt, hasLeft});
    return true;
}

bool LeavingServers::isLeaving(const ServerName &name, std::int64_t startedAt) const
{
    return find(name, startedAt) != nullptr;
}

bool LeavingServers::hasLeft(const ServerName &name, std::int64_t startedAt) const
{
    const Process *process = find(name, startedAt);
    return process != nullptr && process->hasLeft;
}

bool LeavingServers::hasLeft(const ServerName &name) const
{
    const auto last = std::find_if(processes_.rbegin(), processes_.rend(),
                                   [&name](const Process &process) { return process.name == name; });
    return last != processes_.rend() && last->hasLeft;
}

const LeavingServers::Process *LeavingServers::find(const ServerName &name, std::int64_t startedAt) const
{
    const auto found = std::find_if(processes_.begin(), processes_.end(), [&](const Process &process) {
        return process.name == name && process.startedAt == startedAt;
    });
    return found == processes_.end() ? nullptr : &*found;
}

} // namespace Hibiscus
