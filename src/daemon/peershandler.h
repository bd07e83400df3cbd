#ifndef HIBISCUS_DAEMON_PEERSHANDLER_H
#define HIBISCUS_DAEMON_PEERSHANDLER_H

#include "daemon/callcoordinator.h"
#include "daemon/callservices.h"
#include "http/httphandler.h"

#include <functional>

namespace Hibiscus
{

/** Requests of other daemons: attempts, calls to be coordinated, outcome queries and control messages. */
class PeersHandler : public HttpHandler
{
public:
    /** Takes the body of a control message and sends the body of its answer. */
    using ControlFunction = std::function<void(std::string body, std::function<void(std::string)> respond)>;

    PeersHandler(CallServices &services, CallCoordinator &coordinator, ControlFunction control);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    void handleCall(HttpRequest request, HttpResponder respond);
    HttpResponse queryOutcome(const HttpRequest &request);

    CallServices &services_;
    CallCoordinator &coordinator_;
    ControlFunction control_;
};

} // namespace Hibiscus

#endif
