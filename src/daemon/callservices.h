#ifndef HIBISCUS_DAEMON_CALLSERVICES_H
#define HIBISCUS_DAEMON_CALLSERVICES_H

#include "core/clock.h"
#include "core/randomsource.h"
#include "daemon/routingtable.h"
#include "daemon/servergateway.h"
#include "daemon/sharedtables.h"
#include "http/httpclient.h"

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
};

} // namespace Hibiscus

#endif
