#include "mesh/localregistration.h"

#include "core/logevent.h"

#include <chrono>

namespace Hibiscus
{

namespace
{

std::int64_t unixMillis()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

LocalRegistration::LocalRegistration(const MeshSettings &settings, const LocalServer &server, Incarnation incarnation)
    : settings_(settings)
    , server_(server)
    , incarnation_(incarnation)
    , startedAt_(unixMillis())
{
}

std::optional<ServerRegistration> LocalRegistration::present(bool isDetached) const
{
    const std::optional<CheckIn> &server = server_.current();
    if (!server) {
        return std::nullopt;
    }
    const ServerState state = isDetached && server->state == ServerState::Ready ? ServerState::Detached : server->state;
    return ServerRegistration{server->name,    server->service, settings_.domain,
                              settings_.peers, incarnation_,    server->startedAt,
                              startedAt_,      server->slots,   state};
}

ServerRegistration LocalRegistration::left(const ServerName &name, std::int64_t serverStartedAt) const
{
    constexpr int kNoSlots = 1; // The least that a registration may state.
    return {name,       settings_.service, settings_.domain, settings_.peers, incarnation_, serverStartedAt,
            startedAt_, kNoSlots,          ServerState::Left};
}

void LocalRegistration::log() const
{
    const std::optional<CheckIn> &server = server_.current();
    if (!server) {
        logEvent(LogEvent::ServerChanged, "the local server has left");
        return;
    }
    logEvent(LogEvent::ServerChanged, "",
             {{"server", server->name.value()},
              {"startedAt", server->startedAt},
              {"sequence", server->sequence},
              {"slots", server->slots},
              {"state", serverStateName(server->state)}});
}

} // namespace Hibiscus
