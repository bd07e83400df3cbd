#ifndef HIBISCUS_DAEMON_PEERSHANDLER_H
#define HIBISCUS_DAEMON_PEERSHANDLER_H

#include "daemon/callservices.h"
#include "http/httphandler.h"

#include <functional>

namespace Hibiscus
{

/** Handles requests of other daemons: attempts, calls to coordinate, outcome queries and control messages. */
class PeersHandler : public HttpHandler
{
public:
    /** Handles the body of a control message and calls @p respond with the body of the reply. */
    using ControlFunction = std::function<void(std::string body, std::function<void(std::string)> respond)>;

    /** Runs a call to its end as the arbiter of its identity. */
    using CoordinateFunction = std::function<void(CallRequest call, CallCallback callback)>;

    /** Called for each attempt that another daemon sends. */
    using ContactFunction = std::function<void(const HostAddress &sender)>;

    PeersHandler(CallServices &services, CoordinateFunction coordinate, ControlFunction control,
                 ContactFunction contact = nullptr);

    void handle(HttpRequest request, HttpResponder respond) override;

private:
    void handleCall(HttpRequest request, HttpResponder respond);
    HttpResponse handleQueryOrCancel(const HttpRequest &request);
    HttpResponse queryOutcome(AttemptId attempt, const HttpRequest &request);

    CallServices &services_;
    CoordinateFunction coordinate_;
    ControlFunction control_;
    ContactFunction contact_;
};

} // namespace Hibiscus

#endif
