#ifndef HIBISCUS_DAEMON_CALLSERVICES_H
#define HIBISCUS_DAEMON_CALLSERVICES_H

#include "core/clock.h"
#include "core/randomsource.h"
#include "daemon/routingtable.h"
#include "daemon/servergateway.h"
#include "daemon/sharedtables.h"
#include "http/httpclient.h"

#include <functional>

#include <asio/io_context.hpp>

namespace Hibiscus
{

/** Objects that the coordination of a call uses. All of them outlive all calls. */
struct CallServices {
    asio::io_context &context;
    const Clock &clock;
    const DaemonIdentity &self;
    SharedTables &tables;
    Guarded<RoutingTable> &routing;
    Guarded<DeviceRandom> &random;
    HttpClient &client;
    ServerGateway &gateway;
    /** Called when the daemon beside @p server says that it is leaving. */
    std::function<void(const ServerView &server)> serverLeaving{};
};

} // namespace Hibiscus

#endif
