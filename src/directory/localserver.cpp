#include "directory/localserver.h"

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
    , leaving_(kMaximumLeavingProcesses)
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
    if (leaving_.hasLeft(checkIn.name, checkIn.startedAt)) {
        return CheckInResult::Stale;
    }
    if (leaving_.isLeaving(checkIn.name, checkIn.startedAt)) {
        accepted.state = ServerState::Draining;
    }
    if (accepted.state == ServerState::Draining) {
        leaving_.record(accepted.name, accepted.startedAt, false);
    }
    const bool changed = isKnown && (current_->state != accepted.state || current_->slots != accepted.slots);
    current_ = accepted;
    latestStartedAt_ = accepted.startedAt;
    if (!isKnown) {
        return CheckInResult::Started;
    }
    return changed ? CheckInResult::Changed : CheckInResult::Unchanged;
}

bool LocalServer::leave(const ServerName &name)
{
    if (!current_ || current_->name != name) {
        return false;
    }
    leaving_.record(name, current_->startedAt, true);
    current_.reset();
    return true;
}

bool LocalServer::hasLeft(const ServerName &name) const
{
    return leaving_.hasLeft(name);
}

void LocalServer::forget()
{
    current_.reset();
}

bool LocalServer::markDraining(const ServerName &name, std::int64_t startedAt)
{
    leaving_.record(name, startedAt, false);
    if (!current_ || current_->name != name || current_->startedAt != startedAt || isDraining(name)) {
        return false;
    }
    current_->state = ServerState::Draining;
    return true;
}

bool LocalServer::isDraining(const ServerName &name) const
{
    return current_ && current_->name == name && current_->state == ServerState::Draining;
}

std::optional<ErrorKind> LocalServer::refusal(const ServerName &target) const
{
    if (!current_ || current_->name != target) {
        return ErrorKind::Misdirected;
    }
    return isDraining(target) ? std::optional(ErrorKind::Draining) : std::nullopt;
}

} // namespace Hibiscus
