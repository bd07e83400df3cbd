#ifndef HIBISCUS_DAEMON_NOTICERECEIVER_H
#define HIBISCUS_DAEMON_NOTICERECEIVER_H

#include "core/clock.h"
#include "daemon/servernotice.h"
#include "daemon/sharedtables.h"

#include <atomic>
#include <functional>

namespace Hibiscus
{

/** Applies what the local backend server says of itself in its responses: a limit on its rate, and that it leaves. */
class NoticeReceiver
{
public:
    /** Number of a process of the server, as far as this daemon can tell them apart. */
    using ServerProcess = int;

    NoticeReceiver(const DaemonIdentity &self, SharedTables &tables, const Clock &clock);

    /** Called when the server says that it is leaving. */
    void setLeavingCallback(std::function<void()> callback);

    /** Process to which requests are sent now. */
    ServerProcess currentProcess() const;

    /** Another process of the server has started, so notices of the one before say nothing about it. */
    void serverReplaced();

    /** Notice in the response to a request that was sent to @p process at @p sentAt. */
    void receive(const ServerNotice &notice, ServerProcess process, TimePoint sentAt);

    /** Notice in a response that is not the result of a request to the server, so that a limit that it does not name
     * may still hold: late and interim ones, those to health checks, and those that are no valid result. */
    void receiveOther(const ServerNotice &notice, ServerProcess process);

private:
    bool isUsable(const ServerNotice &notice, ServerProcess process) const;
    void applyLimit(const ServerNotice &notice, std::optional<TimePoint> endsIfSentAt);
    void applyLeaving(const ServerNotice &notice) const;

    const DaemonIdentity &self_;
    SharedTables &tables_;
    const Clock &clock_;
    std::function<void()> leaving_;
    std::atomic<ServerProcess> process_{0};
};

} // namespace Hibiscus

#endif
