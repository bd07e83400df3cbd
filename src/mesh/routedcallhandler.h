#ifndef HIBISCUS_MESH_ROUTEDCALLHANDLER_H
#define HIBISCUS_MESH_ROUTEDCALLHANDLER_H

#include "config/routetable.h"
#include "daemon/callattempts.h"
#include "daemon/callservices.h"
#include "http/httphandler.h"
#include "mesh/calleridentity.h"
#include "mesh/callerprotocol.h"
#include "teams/allotmentgate.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/** Carries the requests of callers and of the local backend server, as configured for the route of each. */
class RoutedCallHandler : public HttpHandler
{
public:
    /** @p caller is the service of the backend server beside this daemon. */
    RoutedCallHandler(CallServices &services, const CallerProtocol &protocol, ServiceName caller);

    /** Uses a configuration for the requests that arrive from now on. */
    void setRoutes(RouteTablePtr routes);

    /** Asks @p gate whether the requests of teams lie within their allotments; null for no limits. */
    void setAllotmentGate(AllotmentGate *gate);

    /** Makes every response from now on close its connection. */
    void drain();

    void handle(HttpRequest request, HttpResponder respond) override;
    void connectionClosed(std::uint64_t connection) override;

    /** Number of requests without a response. */
    std::size_t activeCalls() const;

private:
    /** A request from its arrival until its response. */
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    CallRequest makeRequest(HttpRequest request, const Route &route, const CallerRequestMetadata &metadata,
                            const CallerIdentity &identity) const;
    CallerDescription describe(const CallerIdentity &identity) const;
    void askAllotment(const CallPtr &call, CallRequest request);
    void allotmentDecided(const CallPtr &call, CallRequest request, const AllotmentDecision &decision);
    void run(const CallPtr &call, CallRequest request);
    bool linkToParent(Call &call, CallRequest &request);
    void startDeadlineTimer(const CallPtr &call, Millis delay);
    void finish(const CallPtr &call, CallResult result);
    void logFailure(const Call &call, const CallResult &result) const;
    Millis retryAfterDelay(Millis latencyTarget);

    CallServices &services_;
    const CallerProtocol &protocol_;
    ServiceName caller_;
    CallerIdentifier identifier_;
    AllotmentGate *gate_ = nullptr;
    RouteTablePtr routes_;
    std::unordered_map<std::uint64_t, std::vector<CallPtr>> calls_; ///< By connection.
    std::size_t activeCalls_ = 0;
    bool draining_ = false;
};

} // namespace Hibiscus

#endif
