#ifndef HIBISCUS_SOAK_FAULTPLAN_H
#define HIBISCUS_SOAK_FAULTPLAN_H

#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** Faults that are injected into the processes and connections of a deployment. */
enum class FaultKind {
    KillDaemon, ///< SIGKILL, and a restart at the end of the fault.
    StopDaemon, ///< SIGTERM, and a restart once the process has ended.
    HangUpDaemon, ///< SIGHUP.
    PauseDaemon, ///< SIGSTOP, and SIGCONT at the end of the fault.
    KillServer, ///< SIGKILL, and a restart at the end of the fault.
    PauseServer, ///< SIGSTOP, and SIGCONT at the end of the fault.
    ResetCallers, ///< Resets the connections between callers and one daemon.
    DelayCallers,
    SilenceCallers,
    ResetServer, ///< Resets the connections between one daemon and its server.
    DelayServer,
    LoseServerResponses, ///< Requests reach the server, but its responses are held back.
    RefuseStore, ///< Resets and refuses the connections of all daemons to the store.
    DelayStore,
    SilenceStore,
    LoseStoreResponses,
    ChangeRules,
};

inline constexpr std::size_t kFaultKinds = 17;

std::string_view faultName(FaultKind kind);

/** One fault of a run. */
struct Fault {
    Millis start; ///< Since the start of the load.
    Millis duration; ///< Time until the fault is undone.
    FaultKind kind;
    std::size_t host; ///< Index of the host.
};

/**
 * Plans the faults of a run, in the order of their start times. The same seed gives the same faults. Faults may repeat
 * on the same host and overlap, and all are undone by the end of @p duration.
 */
std::vector<Fault> planFaults(std::uint64_t seed, std::size_t hosts, Millis duration);

} // namespace Hibiscus

#endif
