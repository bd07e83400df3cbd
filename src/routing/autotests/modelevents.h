#ifndef HIBISCUS_ROUTING_MODELEVENTS_H
#define HIBISCUS_ROUTING_MODELEVENTS_H

#include "core/manualclock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace Hibiscus
{

/** Events of a model in the order of their times, which set its clock. */
class ModelEvents
{
public:
    /** @p clock must outlive the events. */
    explicit ModelEvents(ManualClock &clock)
        : clock_(clock)
    {
    }

    /** Runs @p run after @p delay. */
    void after(Millis delay, std::function<void()> run)
    {
        events_.push({clock_.now() + delay, ++sequence_, std::move(run)});
    }

    /** Runs the events up to @p end and drops the later ones. */
    void playUntil(TimePoint end)
    {
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            clock_.advance(event.at - clock_.now());
            event.run();
        }
        events_ = {};
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    ManualClock &clock_;
    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
};

} // namespace Hibiscus

#endif
