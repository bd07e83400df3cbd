#include "directory/localserver.h"

#include <algorithm>

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
    if (const LeavingProcess *leaving = findLeaving(checkIn.name, checkIn.startedAt)) {
        if (leaving->hasLeft) {
            return CheckInResult::Stale;
        }
        accepted.state = ServerState::Draining;
    }
    if (accepted.state == ServerState::Draining) {
        recordLeaving(accepted.name, accepted.startedAt, false);
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
    recordLeaving(name, current_->startedAt, true);
    current_.reset();
    return true;
}

void LocalServer::forget()
{
    current_.reset();
}

void LocalServer::markDraining(const ServerName &name, std::int64_t startedAt)
{
    recordLeaving(name, startedAt, false);
    if (current_ && current_->name == name && current_->startedAt == startedAt) {
        current_->state = ServerState::Draining;
    }
}

std::optional<ErrorKind> LocalServer::refusal(const ServerName &target) const
{
    if (!current_ || current_->name != target) {
        return ErrorKind::Misdirected;
    }
    if (current_->state == ServerState::Draining) {
        return ErrorKind::Draining;
    }
    return std::nullopt;
}

LocalServer::LeavingProcess *LocalServer::findLeaving(const ServerName &name, std::int64_t startedAt)
{
    const auto found = std::find_if(leaving_.begin(), leaving_.end(), [&](const LeavingProcess &candidate) {
        return candidate.name == name && candidate.startedAt == startedAt;
    });
    return found == leaving_.end() ? nullptr : &*found;
}

void LocalServer::recordLeaving(const ServerName &name, std::int64_t startedAt, bool hasLeft)
{
    if (LeavingProcess *known = findLeaving(name, startedAt)) {
        known->hasLeft = known->hasLeft || hasLeft;
        return;
    }
    if (leaving_.size() >= kMaximumLeavingProcesses) {
        leaving_.erase(leaving_.begin());
    }
    leaving_.push_back({name, startedAt, hasLeft});
}

} // namespace Hibiscus
