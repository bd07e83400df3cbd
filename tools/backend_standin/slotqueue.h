#ifndef HIBISCUS_BACKEND_STANDIN_SLOTQUEUE_H
#define HIBISCUS_BACKEND_STANDIN_SLOTQUEUE_H

#include <cstdint>
#include <deque>
#include <functional>

namespace Hibiscus
{

/** Execution slots of a server with a bounded first-in-first-out queue. */
class SlotQueue
{
public:
    enum class EnqueueResult {
        Started,
        Queued,
        Refused,
    };

    SlotQueue(int slots, int queueLimit);

    /** Calls @p start at once if a slot is free, otherwise when one becomes free. Refused if the queue is full. */
    EnqueueResult enqueue(std::uint64_t id, std::function<void()> start);
    /** Releases the slot of a started request and starts the next request in the queue. */
    void releaseSlot();
    /** Removes a request from the queue; false if it isn't queued. */
    bool remove(std::uint64_t id);

    int busy() const
    {
        return busy_;
    }
    int waiting() const
    {
        return static_cast<int>(queue_.size());
    }

private:
    struct QueuedRequest {
        std::uint64_t id;
        std::function<void()> start;
    };

    int slots_;
    int queueLimit_;
    int busy_ = 0;
    std::deque<QueuedRequest> queue_;
};

} // namespace Hibiscus

#endif
