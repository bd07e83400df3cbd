#ifndef HIBISCUS_DIRECTORY_LOCALSERVER_H
#define HIBISCUS_DIRECTORY_LOCALSERVER_H

#include "core/errorkind.h"
#include "directory/checkin.h"
#include "directory/serverprocesses.h"

#include <optional>

namespace Hibiscus
{

/** What a check-in or a leave notice changed. */
enum class CheckInResult {
    Unchanged, ///< State and slots are as known.
    Started, ///< An unknown server, or a new process of the known one, became the local server.
    Changed, ///< The local server drains, has left or changed its slots.
    Stale, ///< The check-in is older than a known one, or its server process has left; nothing changes.
    NotLocal, ///< The check-in is not from the server beside this daemon; nothing changes.
};

/**
 * State of the backend server beside this daemon, from its check-ins.
 *
 * Requests are sent only to a server that has checked in with this daemon process. A server process that drains or has
 * left never gets requests again, whatever check-ins arrive later.
 */
class LocalServer
{
public:
    /** Only a server of @p service at @p address is the one beside this daemon. */
    LocalServer(ServiceName service, HostAddress address);

    CheckInResult receive(const CheckIn &checkIn);

    /**
     * Records that a server process has left, and returns its start. @p startedAt is empty if its notice doesn't name
     * the start; then it is the local server, or the last one of that name. Empty if no such process is known: a
     * delayed heartbeat could still make it the local server.
     */
    std::optional<std::int64_t> leave(const ServerName &name, std::optional<std::int64_t> startedAt);

    /** Forgets the local server, which seems lost for good. Its next check-in, if any, counts as a start. */
    void forget();

    /** Marks a server process as draining, whichever way this daemon has learned it; true if the local server changed.
     */
    bool markDraining(const ServerName &name, std::int64_t startedAt);

    /** Reason why an attempt addressed to @p target may not be sent to the local server now; empty if it may. */
    std::optional<ErrorKind> refusal(const ServerName &target) const;

    /** Whether the last server of that name drains or has left. */
    bool isLeaving(const ServerName &name) const;

    /** Last check-in; empty before the first one and after the server has left. */
    const std::optional<CheckIn> &current() const
    {
        return current_;
    }

private:
    ServiceName service_;
    HostAddress address_;
    std::optional<CheckIn> current_;
    std::int64_t latestStartedAt_ = 0;
    ServerProcesses processes_; ///< That drain or have left.
};

} // namespace Hibiscus

#endif
