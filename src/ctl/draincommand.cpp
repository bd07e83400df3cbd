#include "ctl/draincommand.h"

namespace Hibiscus
{

namespace
{

/** Time between two polls; a drained daemon answers for 5 s more, so none of them can miss it. */
constexpr Millis kPollPause{200};
/** Silence after which a draining daemon is taken for gone: twice the time that it stays after its last request. */
constexpr Millis kGoneAfter{10'000};

CommandResult result(ExitCode code, const char *name, const ServerName &server, std::int64_t inFlight,
                     const std::string &message)
{
    return {code, {message}, {{"result", name}, {"server", server.value()}, {"inFlight", inFlight}}};
}

} // namespace

DrainCommand::DrainCommand(DaemonClient &client, const Waiting &waiting)
    : client_(client)
    , waiting_(waiting)
{
}

CommandResult DrainCommand::run(const ServerName &server, const HostAddress &daemon, Millis timeout)
{
    const TimePoint deadline = waiting_.clock.now() + timeout;
    const auto status = fetchStatus(client_, daemon);
    if (!status) {
        return failure(status.error().answered ? ExitCode::Invalid : ExitCode::Unavailable, status.error().message);
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
    bool mayDrain = false;
    std::string refusal;
    TimePoint lastAnswer = waiting_.clock.now();
    while (true) {
        const auto status = fetchStatus(client_, daemon);
        if (status) {
            lastAnswer = waiting_.clock.now();
        }
        if (status && status->server == server && !status->draining) {
            // Also after a lost answer, and for a daemon that was restarted meanwhile.
            const auto drained = client_.drain(daemon);
            refusal = drained ? "" : drained.error().message;
            mayDrain = mayDrain || drained || !drained.error().answered;
        } else if (status && status->server == server) {
            mayDrain = true;
            reportProgress(*status);
            if (status->inFlight == 0) {
                return result(ExitCode::Success, "drained", server, 0,
                              server.value() + " is drained: no request is in flight");
            }
        }
        const bool gone = mayDrain && waiting_.clock.now() - lastAnswer > kGoneAfter;
        if (!gone && waiting_.clock.now() < deadline) {
            waiting_.pause.wait(kPollPause);
            continue;
        }
        if (!mayDrain) {
            return failure(refusal.empty() ? ExitCode::Unavailable : ExitCode::Invalid,
                           server.value() + " was not drained: " + (refusal.empty() ? "no answer" : refusal));
        }
        if (!status) {
            return result(ExitCode::Unknown, "unknown", server, lastInFlight_,
                          "the daemon of " + server.value()
                              + " stopped answering before it reported that no request was in flight");
        }
        return result(ExitCode::Pending, "draining", server, status->inFlight,
                      server.value() + " is still draining: " + std::to_string(status->inFlight) + " in flight");
    }
}

void DrainCommand::reportProgress(const DaemonStatus &status)
{
    if (status.inFlight != lastInFlight_) {
        lastInFlight_ = status.inFlight;
        waiting_.progress.report(status.server.value() + " is draining: " + std::to_string(status.inFlight)
                                 + " in flight");
    }
}

} // namespace Hibiscus
