#ifndef HIBISCUS_DIRECTORY_LOCALSERVER_H
#define HIBISCUS_DIRECTORY_LOCALSERVER_H

#include "core/errorkind.h"
#include "directory/checkin.h"

#include <optional>
#include <vector>

namespace Hibiscus
{

/** What a check-in or a departure changed. */
enum class CheckInResult {
    Unchanged, ///< It repeats what is known.
    Started, ///< A server, or a new start of it, took the place beside this daemon.
    Changed, ///< The known server drains, or changed its slots.
    Stale, ///< It was sent before one that is known; nothing changes.
    NotLocal, ///< It is not from the server beside this daemon; nothing changes.
};

/**
 * The backend server beside this daemon, as its check-ins show it.
 *
 * Work is sent only to a server that checked in with this process, and never again to a start of a server that drains
 * or has left, whatever arrives later.
 */
class LocalServer
{
public:
    /** Only a server of @p service at @p address is the one beside this daemon. */
    LocalServer(ServiceName service, HostAddress address);

    CheckInResult receive(const CheckIn &checkIn);

    /** The server of that name ends; false if it is not the one beside this daemon. */
    bool leave(const ServerName &name);

    /** Takes over from an earlier process of this daemon that a start of a server drains or has left. */
    void markDraining(const ServerName &name, std::int64_t startedAt);

    /** Why an attempt meant for @p target may not be sent to the server now; empty if it may. */
    std::optional<ErrorKind> refusal(const ServerName &target) const;

    /** Last check-in; empty before the first one and after the server has left. */
    const std::optional<CheckIn> &current() const
    {
        return current_;
    }

private:
    /** A start that drains, or has left. */
    struct LeavingStart {
        ServerName name;
        std::int64_t startedAt = 0;
        bool hasLeft = false;
    };

    LeavingStart *findLeaving(const ServerName &name, std::int64_t startedAt);
    void remember(const ServerName &name, std::int64_t startedAt, bool hasLeft);

    ServiceName service_;
    HostAddress address_;
    std::optional<CheckIn> current_;
    std::int64_t latestStart_ = 0;
    std::vector<LeavingStart> leaving_; ///< Oldest first.
};

} // namespace Hibiscus

#endif
