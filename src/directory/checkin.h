#ifndef HIBISCUS_DIRECTORY_CHECKIN_H
#define HIBISCUS_DIRECTORY_CHECKIN_H

#include "core/millis.h"
#include "directory/serverregistration.h"

namespace Hibiscus
{

/** Heartbeat of a backend server to the daemon beside it. */
struct CheckIn {
    ServerName name;
    ServiceName service;
    HostAddress address; ///< Of the server.
    FailureDomainName domain;
    std::int64_t startedAt = 0; ///< Start of the server in Unix milliseconds, by the server's own clock.
    std::uint64_t sequence = 0; ///< Increases with each check-in of one process of the server.
    int slots = 1; ///< Requests that the server processes at a time.
    ServerState state = ServerState::Ready;
    Millis coldLeft{}; ///< Time for which the server remains slow after its start.
};

} // namespace Hibiscus

#endif
