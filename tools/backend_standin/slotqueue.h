#ifndef HIBISCUS_BACKEND_STANDIN_SLOTQUEUE_H
#define HIBISCUS_BACKEND_STANDIN_SLOTQUEUE_H

#include <cstdint>
#include <deque>
#include <functional>

namespace Hibiscus
{

/** Slots of a server with a bounded first-in-first-out queue in front. */
class SlotQueue
{
public:
    enum class Entry {
        Started,
        Queued,
        Refused,
    };

    SlotQueue(int slots, int queueLimit);

    /** Calls @p start now or when a slot becomes free, unless the queue is full. */
    Entry enter(std::uint64_t id, std::function<void()> start);
    /** Frees the slot of a request that was started, and starts the next one. */
    void leave();
    /** Takes a waiting request out; false if it doesn't wait. */
    bool withdraw(std::uint64_t id);

    int busy() const
    {
        return busy_;
    }
    int waiting() const
    {
        return static_cast<int>(queue_.size());
    }

private:
    struct Waiting {
        std::uint64_t id;
        std::function<void()> start;
    };

    int slots_;
    int queueLimit_;
    int busy_ = 0;
    std::deque<Waiting> queue_;
};

} // namespace Hibiscus

#endif
