#ifndef HIBISCUS_CTL_DRAINCOMMAND_H
#define HIBISCUS_CTL_DRAINCOMMAND_H

#include "core/ids.h"
#include "ctl/commandresult.h"
#include "ctl/daemonclient.h"
#include "ctl/daemonstatus.h"
#include "ctl/waiting.h"

namespace Hibiscus
{

/** Tells the daemon of a server to drain and waits until no request is in flight there. */
class DrainCommand
{
public:
    DrainCommand(DaemonClient &client, const Waiting &waiting);

    /** @p daemon is the callers listener of the daemon of @p server; another server's daemon is left alone. */
    CommandResult run(const ServerName &server, const HostAddress &daemon, Millis timeout);

private:
    CommandResult waitUntilIdle(const ServerName &server, const HostAddress &daemon, TimePoint deadline);
    void reportProgress(const DaemonStatus &status);

    DaemonClient &client_;
    Waiting waiting_;
    std::int64_t lastInFlight_ = -1;
};

} // namespace Hibiscus

#endif
