#ifndef HIBISCUS_SOAK_FAULTPLAN_H
#define HIBISCUS_SOAK_FAULTPLAN_H

#include "core/millis.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** What is done to the processes and connections of a deployment from outside. */
enum class FaultKind {
    KillDaemon, ///< SIGKILL, and a new start.
    StopDaemon, ///< SIGTERM, and a new start once the process has ended.
    HangUpDaemon, ///< SIGHUP.
    PauseDaemon, ///< SIGSTOP, and SIGCONT.
    KillServer,
    PauseServer,
    ResetCallers, ///< Connections between callers and one daemon.
    DelayCallers,
    SilenceCallers,
    ResetServer, ///< Connections between one daemon and its server.
    DelayServer,
    LoseAnswersOfServer, ///< One way: requests arrive, answers don't.
    RefuseStore, ///< Connections of all daemons to the store.
    DelayStore,
    SilenceStore,
    LoseAnswersOfStore,
    ChangeRules,
};

inline constexpr std::size_t kFaultKinds = 17;

std::string_view faultName(FaultKind kind);

/** One fault of a run. */
struct Fault {
    Millis at; ///< From the start of the load.
    Millis length; ///< Until it is undone.
    FaultKind kind;
    std::size_t host;
};

/**
 * Faults of a run, in the order of their beginnings. The same seed gives the same faults. They come in series and
 * overlap, and all are undone by the end of @p duration.
 */
std::vector<Fault> planFaults(std::uint64_t seed, std::size_t hosts, Millis duration);

} // namespace Hibiscus

#endif
