#include "directory/serverprocesses.h"

#include <algorithm>

namespace Hibiscus
{

ProcessStage stageOf(ServerState state)
{
    switch (state) {
    case ServerState::Draining:
        return ProcessStage::Draining;
    case ServerState::Left:
        return ProcessStage::Left;
    case ServerState::Ready:
    case ServerState::Detached:
        break;
    }
    return ProcessStage::Serving;
}

ServerProcesses::ServerProcesses(std::size_t maximum)
    : maximum_(maximum)
{
}

bool ServerProcesses::record(const ServerName &name, std::int64_t startedAt, ProcessStage stage)
{
    if (stage <= this->stage(name, startedAt)) {
        return false;
    }
    if (processes_.size() >= maximum_ && !processes_.contains(name)) {
        removeOldest();
    }
    processes_.insert_or_assign(name, Process{startedAt, stage, ++records_});
    return true;
}

void ServerProcesses::removeOldest()
{
    const auto oldest = std::min_element(processes_.begin(), processes_.end(), [](const auto &a, const auto &b) {
        return a.second.recordedAs < b.second.recordedAs;
    });
    processes_.erase(oldest);
}

ProcessStage ServerProcesses::stage(const ServerName &name, std::int64_t startedAt) const
{
    const Process *latest = find(name);
    if (latest == nullptr || latest->startedAt < startedAt) {
        return ProcessStage::Serving;
    }
    return latest->startedAt == startedAt ? latest->stage : ProcessStage::Left;
}

ProcessStage ServerProcesses::latestStage(const ServerName &name) const
{
    const Process *latest = find(name);
    return latest == nullptr ? ProcessStage::Serving : latest->stage;
}

std::optional<std::int64_t> ServerProcesses::latestStart(const ServerName &name) const
{
    const Process *latest = find(name);
    return latest == nullptr ? std::nullopt : std::optional(latest->startedAt);
}

const ServerProcesses::Process *ServerProcesses::find(const ServerName &name) const
{
    const auto found = processes_.find(name);
    return found == processes_.end() ? nullptr : &found->second;
}

} // namespace Hibiscus
