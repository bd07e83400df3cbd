#include "ctl/draincommand.h"

namespace Hibiscus
{

namespace
{

/** Time between two polls. A daemon serves its status for 5 s after its last request, so polls can't miss the drained
 * state. */
constexpr Millis kPollInterval{200};
/** Time without a response after which a draining daemon is assumed to have ended: twice the 5 s for which it keeps
 * running after its last request. */
constexpr Millis kExitTimeout{10'000};

CommandResult drainResult(ExitCode code, const char *name, const ServerName &server, std::int64_t inFlight,
                          const std::string &message)
{
    return {code, {message}, {{"result", name}, {"server", server.value()}, {"inFlight", inFlight}}};
}

} // namespace

DrainCommand::DrainCommand(DaemonClient &client, const WaitContext &waitContext)
    : client_(client)
    , waitContext_(waitContext)
{
}

CommandResult DrainCommand::run(const ServerName &server, const HostAddress &daemon, Millis timeout)
{
    const TimePoint deadline = waitContext_.clock.now() + timeout;
    const auto status = fetchStatus(client_, daemon);
    if (!status) {
        return failure(status.error().responded ? ExitCode::Invalid : ExitCode::Unavailable, status.error().message);
    }
    if (status->server != server) {
        return failure(ExitCode::Usage,
                       "the daemon at " + daemon.value() + " belongs to server " + status->server.value() + ", not to "
                           + server.value() + "; nothing was done");
    }
    return waitUntilIdle(server, daemon, deadline);
}

CommandResult DrainCommand::waitUntilIdle(const ServerName &server, const HostAddress &daemon, TimePoint deadline)
{
    bool mayBeDraining = false;
    std::string refusal;
    TimePoint lastResponse = waitContext_.clock.now();
    while (true) {
        const auto status = fetchStatus(client_, daemon);
        if (status) {
            lastResponse = waitContext_.clock.now();
        }
        if (status && status->server == server && !status->draining) {
            // Sends the request again if its response was lost or the daemon has restarted in the meantime.
            const auto drained = client_.drain(daemon);
            refusal = drained ? "" : drained.error().message;
            mayBeDraining = mayBeDraining || drained || !drained.error().responded;
        } else if (status && status->server == server) {
            mayBeDraining = true;
            reportProgress(*status);
            if (status->inFlight == 0) {
                return drainResult(ExitCode::Success, "drained", server, 0,
                                   server.value() + " is drained: no request is in flight");
            }
        }
        const bool assumedEnded = mayBeDraining && waitContext_.clock.now() - lastResponse > kExitTimeout;
        if (!assumedEnded && waitContext_.clock.now() < deadline) {
            waitContext_.sleeper.sleep(kPollInterval);
            continue;
        }
        if (!mayBeDraining) {
            return failure(refusal.empty() ? ExitCode::Unavailable : ExitCode::Invalid,
                           server.value() + " was not drained: " + (refusal.empty() ? "no answer" : refusal));
        }
        if (!status) {
            return drainResult(ExitCode::Unknown, "unknown", server, lastInFlight_,
                               "the daemon of " + server.value()
                                   + " stopped answering before it reported that no request was in flight");
        }
        return drainResult(ExitCode::Pending, "draining", server, status->inFlight,
                           server.value() + " is still draining: " + std::to_string(status->inFlight) + " in flight");
    }
}

void DrainCommand::reportProgress(const DaemonStatus &status)
{
    if (status.inFlight != lastInFlight_) {
        lastInFlight_ = status.inFlight;
        waitContext_.progress.report(status.server.value() + " is draining: " + std::to_string(status.inFlight)
                                     + " in flight");
    }
}

} // namespace Hibiscus
