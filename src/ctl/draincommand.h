#ifndef HIBISCUS_CTL_DRAINCOMMAND_H
#define HIBISCUS_CTL_DRAINCOMMAND_H

#include "core/ids.h"
#include "ctl/commandresult.h"
#include "ctl/daemonclient.h"
#include "ctl/daemonstatus.h"
#include "ctl/waitcontext.h"

namespace Hibiscus
{

/** Tells the daemon of a server to drain and waits until no request is in flight there. */
class DrainCommand
{
public:
    DrainCommand(DaemonClient &client, const WaitContext &waitContext);

    /** @p daemon is the callers listener of the daemon of @p server; the daemon of another server is not drained. Waits
     * at most @p timeout. */
    CommandResult run(const ServerName &server, const HostAddress &daemon, Millis timeout);

private:
    CommandResult waitUntilIdle(const ServerName &server, const HostAddress &daemon, TimePoint deadline);
    void reportProgress(const DaemonStatus &status);

    DaemonClient &client_;
    WaitContext waitContext_;
    std::int64_t lastInFlight_ = -1; ///< Requests in flight that were last reported; -1 before the first report.
};

} // namespace Hibiscus

#endif
