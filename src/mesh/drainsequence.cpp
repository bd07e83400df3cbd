#include "mesh/drainsequence.h"

#include <utility>

namespace Hibiscus
{

namespace
{

constexpr Millis kDrainTick{50};
/** Time from the start of a drain until the local server gets no new work. The requests that it has accepted by then
 * end before the process does, except for those that take longer than the rest of the grace period. */
constexpr Millis kDetachDelay{1500};
/** Time from the start of a drain until the callers listener closes. By then callers have noticed the drain through
 * their readiness probes and send no new requests. */
constexpr Millis kCallersCloseDelay{2500};
/** Part of the grace period that is reserved for the end of the process. */
constexpr Millis kShutdownReserve{400};

} // namespace

DrainSequence::DrainSequence(PeriodicTimers &timers, const Clock &clock, Millis gracePeriod, Steps steps)
    : timers_(timers)
    , clock_(clock)
    , gracePeriod_(gracePeriod)
    , steps_(std::move(steps))
{
}

void DrainSequence::begin()
{
    if (std::exchange(hasBegun_, true)) {
        return;
    }
    begunAt_ = clock_.now();
    steps_.begin();
    timers_.repeat(kDrainTick, [this] { tick(); });
}

void DrainSequence::tick()
{
    const Millis elapsed = clock_.now() - begunAt_;
    if (!isDetached_ && elapsed >= kDetachDelay) {
        isDetached_ = true;
        steps_.detach();
    }
    const bool closesListener = elapsed >= kCallersCloseDelay;
    if (closesListener) {
        steps_.closeCallers();
    }
    if ((closesListener && steps_.isIdle()) || elapsed >= gracePeriod_ - kShutdownReserve) {
        steps_.end();
    }
}

} // namespace Hibiscus
