#ifndef HIBISCUS_MESH_ROUTEDCALLHANDLER_H
#define HIBISCUS_MESH_ROUTEDCALLHANDLER_H

#include "config/routetable.h"
#include "daemon/callattempts.h"
#include "daemon/callservices.h"
#include "http/httphandler.h"
#include "mesh/callerprotocol.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/** Requests of callers and of the local backend server that are carried as their route says. */
class RoutedCallHandler : public HttpHandler
{
public:
    /** @p caller is the service of the backend server beside the daemon. */
    RoutedCallHandler(CallServices &services, const CallerProtocol &protocol, ServiceName caller);

    /** Puts a configuration in force for the requests that arrive from now on. */
    void setRoutes(RouteTablePtr routes);

    /** From now on every answer closes its connection. */
    void drain();

    void handle(HttpRequest request, HttpResponder respond) override;
    void connectionClosed(std::uint64_t connection) override;

    /** Requests without an answer. */
    std::size_t activeCalls() const;

private:
    /** A request from its arrival until its answer. */
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    CallRequest makeRequest(HttpRequest request, const Route &route, const CallerTerms &terms) const;
    bool linkToParent(Call &call, CallRequest &request);
    void armDeadline(const CallPtr &call, Millis delay);
    void finish(const CallPtr &call, CallResult answer);
    void logEnd(const Call &call, const CallResult &answer) const;
    Millis returnDelay(Millis latencyTarget);

    CallServices &services_;
    const CallerProtocol &protocol_;
    ServiceName caller_;
    RouteTablePtr routes_;
    std::unordered_map<std::uint64_t, std::vector<CallPtr>> calls_; ///< By connection.
    std::size_t activeCalls_ = 0;
    bool draining_ = false;
};

} // namespace Hibiscus

#endif
