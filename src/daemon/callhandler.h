#ifndef HIBISCUS_DAEMON_CALLHANDLER_H
#define HIBISCUS_DAEMON_CALLHANDLER_H

#include "daemon/callcoordinator.h"
#include "daemon/callservices.h"
#include "daemon/servinggate.h"
#include "http/httphandler.h"

#include <atomic>

namespace Hibiscus
{

/**
 * Handles calls of callers and of the local backend server, with targets of the form /svc/<service>/<path>.
 *
 * A request with an identity may be a resend, and only the arbiter knows whether an earlier send ran. If this daemon
 * refuses such a request without having asked the arbiter, the outcome is unknown.
 */
class CallHandler : public HttpHandler
{
public:
    CallHandler(CallServices &services, CallCoordinator &coordinator, const ServingGate &gate);

    /** Handles a call. With a Hibiscus-Context header it is a call below the attempt that the header names, and is
     * refused if that attempt is not running. */
    void handle(HttpRequest request, HttpResponder respond) override;

    /** Handles a root call. A Hibiscus-Context header is ignored. */
    void handleRoot(HttpRequest request, HttpResponder respond);

    /** Refuses new root calls from now on; resends and calls below running attempts are still accepted. */
    void drain();

    /** Number of calls that have no response yet. */
    int activeCalls() const;

private:
    Result<CallRequest> parseCall(const HttpRequest &request, const Configuration &configuration) const;
    void handleChild(AttemptId context, HttpRequest request, HttpResponder respond);

    CallServices &services_;
    CallCoordinator &coordinator_;
    const ServingGate &gate_;
    std::atomic<bool> draining_{false};
    std::atomic<int> activeCalls_{0};
};

} // namespace Hibiscus

#endif
