#include "backend_standin/slotqueue.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

SlotQueue::SlotQueue(int slots, int queueLimit)
    : slots_(slots)
    , queueLimit_(queueLimit)
{
}

SlotQueue::EnqueueResult SlotQueue::enqueue(std::uint64_t id, std::function<void()> start)
{
    if (busy_ < slots_) {
        ++busy_;
        start();
        return EnqueueResult::Started;
    }
    if (waiting() >= queueLimit_) {
        return EnqueueResult::Refused;
    }
    queue_.push_back({id, std::move(start)});
    return EnqueueResult::Queued;
}

void SlotQueue::releaseSlot()
{
    if (queue_.empty()) {
        --busy_;
        return;
    }
    const std::function<void()> start = std::move(queue_.front().start);
    queue_.pop_front();
    start();
}

bool SlotQueue::remove(std::uint64_t id)
{
    const auto found =
        std::find_if(queue_.begin(), queue_.end(), [id](const QueuedRequest &request) { return request.id == id; });
    if (found == queue_.end()) {
        return false;
    }
    queue_.erase(found);
    return true;
}

} // namespace Hibiscus
