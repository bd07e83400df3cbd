#include "daemon/periodictimers.h"

#include "core/chronotime.h"

#include <utility>

namespace Hibiscus
{

PeriodicTimers::PeriodicTimers(asio::io_context &context)
    : context_(context)
{
}

void PeriodicTimers::repeat(Millis period, std::function<void()> function)
{
    timers_.push_back(std::make_unique<asio::steady_timer>(context_));
    asio::steady_timer *timer = timers_.back().get();
    const auto run = std::make_shared<std::function<void(const asio::error_code &)>>();
    *run = [timer, period, function = std::move(function), weak = std::weak_ptr(run)](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        function();
        timer->expires_after(toChrono(period));
        timer->async_wait([self](const asio::error_code &next) { (*self)(next); });
    };
    timer->expires_after(toChrono(period));
    timer->async_wait([run](const asio::error_code &error) { (*run)(error); });
}

} // namespace Hibiscus
