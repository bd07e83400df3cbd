#include "directory/localserver.h"

#include <utility>

namespace Hibiscus
{

namespace
{

/** Number of leaving server processes that are remembered; check-ins of older processes no longer arrive. */
constexpr std::size_t kMaximumLeavingProcesses = 64;

} // namespace

LocalServer::LocalServer(ServiceName service, HostAddress address)
    : service_(std::move(service))
    , address_(std::move(address))
    , processes_(kMaximumLeavingProcesses)
{
}

CheckInResult LocalServer::receive(const CheckIn &checkIn)
{
    if (checkIn.service != service_ || checkIn.address != address_) {
        return CheckInResult::NotLocal;
    }
    const bool isKnown = current_ && current_->name == checkIn.name && current_->startedAt == checkIn.startedAt;
    if (checkIn.startedAt < latestStartedAt_ || (isKnown && checkIn.sequence <= current_->sequence)) {
        return CheckInResult::Stale;
    }
    CheckIn accepted = checkIn;
    processes_.record(checkIn.name, checkIn.startedAt, stageOf(checkIn.state));
    switch (processes_.stage(checkIn.name, checkIn.startedAt)) {
    case ProcessStage::Left:
        return CheckInResult::Stale;
    case ProcessStage::Draining:
        accepted.state = ServerState::Draining;
        break;
    case ProcessStage::Serving:
        break;
    }
    const bool changed = isKnown && (current_->state != accepted.state || current_->slots != accepted.slots);
    current_ = accepted;
    latestStartedAt_ = accepted.startedAt;
    if (!isKnown) {
        return CheckInResult::Started;
    }
    return changed ? CheckInResult::Changed : CheckInResult::Unchanged;
}

std::optional<std::int64_t> LocalServer::leave(const ServerName &name, std::optional<std::int64_t> startedAt)
{
    const bool isLocal = current_ && current_->name == name;
    const std::optional<std::int64_t> process =
        startedAt ? startedAt : (isLocal ? std::optional(current_->startedAt) : processes_.latestStart(name));
    if (!process) {
        return std::nullopt;
    }
    processes_.record(name, *process, ProcessStage::Left);
    // A notice of an earlier process says nothing about the one that runs now.
    if (isLocal && current_->startedAt <= *process) {
        current_.reset();
    }
    return process;
}

void LocalServer::forget()
{
    current_.reset();
}

bool LocalServer::markDraining(const ServerName &name, std::int64_t startedAt)
{
    processes_.record(name, startedAt, ProcessStage::Draining);
    const bool isLocal = current_ && current_->name == name && current_->startedAt == startedAt;
    return isLocal && std::exchange(current_->state, ServerState::Draining) != ServerState::Draining;
}

bool LocalServer::isLeaving(const ServerName &name) const
{
    if (current_ && current_->name == name) {
        return current_->state == ServerState::Draining;
    }
    return processes_.latestStage(name) != ProcessStage::Serving;
}

std::optional<ErrorKind> LocalServer::refusal(const ServerName &target) const
{
    if (!current_ || current_->name != target) {
        return ErrorKind::Misdirected;
    }
    return isLeaving(target) ? std::optional(ErrorKind::Draining) : std::nullopt;
}

} // namespace Hibiscus
