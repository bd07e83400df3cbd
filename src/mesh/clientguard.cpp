#include "mesh/clientguard.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include <sys/resource.h>

namespace Hibiscus
{

namespace
{

/** Descriptors that are kept for connections to servers, to other daemons and to the store. */
constexpr std::size_t kReservedDescriptors = 1024;
constexpr std::size_t kMaximumConnections = 8192;
/** A request from another daemon has the header fields of the caller's request and those of the hop. */
constexpr std::size_t kHopHeaderBytes = 16384;
/** Backend servers and other daemons keep connections for longer than callers. */
constexpr Millis kInnerIdleTimeout{60000};
constexpr Millis kInnerHeaderTimeout{10000};

} // namespace

ClientLimits clientLimits(const ClientSettings &settings, std::size_t descriptors)
{
    ClientLimits limits;
    const std::size_t reserved = std::min(kReservedDescriptors, descriptors / 2);
    limits.connections = std::min(descriptors - reserved, kMaximumConnections);
    if (settings.heldBytes > 0) {
        limits.heldBytes = static_cast<std::size_t>(settings.heldBytes);
    }
    if (settings.connections > 0) {
        limits.connections = static_cast<std::size_t>(settings.connections);
    }
    return limits;
}

std::size_t maximumDescriptors()
{
    rlimit limit{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? limit.rlim_cur : kMaximumConnections;
}

HttpServerLimits listenerLimits(const CallerLimits &limits, ClientShare share)
{
    HttpServerLimits listener{limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout};
    if (share == ClientShare::Inner) {
        listener.headerBytes += kHopHeaderBytes;
        listener.headerTimeout = std::max(limits.headerTimeout, kInnerHeaderTimeout);
        listener.idleTimeout = std::max(limits.idleTimeout, kInnerIdleTimeout);
    }
    return listener;
}

std::string clientMetrics(const ClientBudget &budget)
{
    const HeldBytes held = budget.held();
    const std::array<std::pair<const char *, std::size_t>, 4> parts{
        {{"received", held.received}, {"handled", held.handled}, {"queued", held.queued}, {"unread", held.unread}}};
    constexpr std::array<std::pair<const char *, ClientState>, 4> kStates{{{"idle", ClientState::Idle},
                                                                           {"receiving", ClientState::Receiving},
                                                                           {"handling", ClientState::Handling},
                                                                           {"unread", ClientState::Unread}}};
    std::ostringstream out;
    out << "# TYPE hibiscus_client_held_bytes gauge\n";
    for (const auto &[name, bytes] : parts) {
        out << "hibiscus_client_held_bytes{what=\"" << name << "\"} " << bytes << '\n';
    }
    out << "# TYPE hibiscus_client_connections gauge\n";
    for (const auto &[name, state] : kStates) {
        out << "hibiscus_client_connections{state=\"" << name << "\"} " << budget.connections(state) << '\n';
    }
    out << "# TYPE hibiscus_client_closed_total counter\n";
    for (std::size_t i = 0; i < kClientEnds; ++i) {
        const auto end = static_cast<ClientEnd>(i);
        out << "hibiscus_client_closed_total{reason=\"" << clientEndName(end) << "\"} " << budget.ended(end) << '\n';
    }
    return out.str();
}

} // namespace Hibiscus
