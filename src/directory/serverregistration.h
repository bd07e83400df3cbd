#ifndef HIBISCUS_DIRECTORY_SERVERREGISTRATION_H
#define HIBISCUS_DIRECTORY_SERVERREGISTRATION_H

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

/** Whether a backend server accepts new requests. */
enum class ServerState {
    Ready,
    Draining,
    Detached, ///< The daemon beside it is stopping; the server itself keeps running.
    Left, ///< The server process has ended or is about to. The entry is proof of that for daemons that restart.
};

/** Kind of the objects of the store that hold registrations. */
inline constexpr const char *kRegistrationKind = "backend-servers";

/** Name of a state in registrations and in messages between daemons. */
std::string_view serverStateName(ServerState state);

/** Entry of one backend server in the store, written by the daemon beside it. */
struct ServerRegistration {
    ServerName name;
    ServiceName service;
    FailureDomainName domain;
    HostAddress daemon; ///< Peers listener of the daemon beside the server.
    Incarnation incarnation; ///< Of that daemon's process.
    std::int64_t startedAt = 0; ///< Start of the server in Unix milliseconds, by the server's own clock.
    std::int64_t daemonStartedAt = 0; ///< Start of the daemon's process in Unix milliseconds, by its host's clock.
    int slots = 1; ///< Requests that the server processes at a time.
    ServerState state = ServerState::Ready;

    friend bool operator==(const ServerRegistration &, const ServerRegistration &) = default;
};

/** JSON text of a registration, without the server's name, which is the name of the object in the store. */
std::string serializeRegistration(const ServerRegistration &registration);

/** Parses the JSON text of a registration; empty if a field is missing, has another type or is out of range. */
std::optional<ServerRegistration> parseRegistration(const ServerName &name, std::string_view text);

} // namespace Hibiscus

#endif
