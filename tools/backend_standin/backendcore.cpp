#include "backend_standin/backendcore.h"

#include <utility>

namespace Hibiscus
{

BackendCore::BackendCore(asio::io_context &ioContext, BackendSettings backendSettings,
                         std::function<void()> crashFunction)
    : context(ioContext)
    , settings(std::move(backendSettings))
    , started(clock.now())
    , serviceTime(settings.serviceTime, settings.seed)
    , slots(settings.slots, settings.queueLimit())
    , executions(settings.executionFile)
    , client(ioContext)
    , random(settings.seed + 1)
    , crash(std::move(crashFunction))
{
}

Millis BackendCore::drawServiceTime(const BackendRoute &route)
{
    const bool cold = clock.now() - started < settings.coldStart;
    return serviceTime.draw(route.meanServiceTime) * (cold ? settings.coldStartFactor : 1) * faults.slowFactor;
}

} // namespace Hibiscus
