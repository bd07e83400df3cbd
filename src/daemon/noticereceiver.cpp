#include "daemon/noticereceiver.h"

#include "core/logevent.h"

namespace Hibiscus
{

NoticeReceiver::NoticeReceiver(const DaemonIdentity &self, SharedTables &tables, const Clock &clock)
    : self_(self)
    , tables_(tables)
    , clock_(clock)
{
}

void NoticeReceiver::setLeavingCallback(std::function<void()> callback)
{
    leaving_ = std::move(callback);
}

NoticeReceiver::ServerProcess NoticeReceiver::currentProcess() const
{
    return process_;
}

void NoticeReceiver::serverReplaced()
{
    ++process_;
    tables_.admission.with([](AdmissionController &admission) { admission.rateLimit().serverReplaced(); });
}

void NoticeReceiver::receive(const ServerNotice &notice, ServerProcess process, TimePoint sentAt)
{
    if (isUsable(notice, process)) {
        applyLimit(notice, sentAt);
        applyLeaving(notice);
    }
}

void NoticeReceiver::receiveOther(const ServerNotice &notice, ServerProcess process)
{
    if (isUsable(notice, process)) {
        applyLimit(notice, std::nullopt);
        applyLeaving(notice);
    }
}

bool NoticeReceiver::isUsable(const ServerNotice &notice, ServerProcess process) const
{
    if (!notice.isReadable) {
        logEvent(LogEvent::ServerNoticeRejected, self_.server.value());
    }
    return notice.isReadable && process == process_;
}

/** @p endsIfSentAt: time at which the request was sent, if a response without a limit ends the one in force. */
void NoticeReceiver::applyLimit(const ServerNotice &notice, std::optional<TimePoint> endsIfSentAt)
{
    const auto [before, after] = tables_.admission.with([&](AdmissionController &admission) {
        RateLimit &limit = admission.rateLimit();
        const std::optional<RequestRate> known = limit.value();
        if (notice.rateLimit) {
            limit.name(*notice.rateLimit, clock_.now());
        } else if (endsIfSentAt) {
            limit.nameNone(*endsIfSentAt);
        }
        return std::pair(known, limit.value());
    });
    if (before != after) {
        logEvent(LogEvent::ServerLimitChanged, after ? "" : "ended",
                 {{"server", self_.server.value()}, {"perSecond", after.value_or(RequestRate{})}});
    }
}

void NoticeReceiver::applyLeaving(const ServerNotice &notice) const
{
    if (notice.isLeaving && leaving_) {
        leaving_();
    }
}

} // namespace Hibiscus
