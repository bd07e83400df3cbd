#ifndef HIBISCUS_DAEMON_PERIODICTIMERS_H
#define HIBISCUS_DAEMON_PERIODICTIMERS_H

#include "core/millis.h"

#include <functional>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace Hibiscus
{

/** Functions that run periodically on the workers of an io_context, until it stops. */
class PeriodicTimers
{
public:
    /** @p context must outlive the object. */
    explicit PeriodicTimers(asio::io_context &context);

    /** Runs @p function after each @p period, counted from the end of its last run. */
    void repeat(Millis period, std::function<void()> function);

private:
    asio::io_context &context_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;
};

} // namespace Hibiscus

#endif
