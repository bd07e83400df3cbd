#include "http/outputqueue.h"

#include <utility>

namespace Hibiscus
{

bool OutputQueue::isEmpty() const
{
    return tail_.empty() && sending_.empty();
}

std::size_t OutputQueue::heldBytes() const
{
    return tail_.size() + sending_.size();
}

std::string &OutputQueue::tail()
{
    return tail_;
}

bool OutputQueue::beginSending()
{
    if (!sending_.empty() || tail_.empty()) {
        return false;
    }
    sending_ = std::exchange(tail_, {});
    return true;
}

asio::const_buffer OutputQueue::unsent() const
{
    return asio::buffer(sending_) + sentBytes_;
}

void OutputQueue::consume(std::size_t bytes)
{
    sentBytes_ += bytes;
    if (sentBytes_ == sending_.size()) {
        std::string().swap(sending_);
        sentBytes_ = 0;
    }
}

void OutputQueue::clear()
{
    std::string().swap(tail_);
    std::string().swap(sending_);
    sentBytes_ = 0;
}

} // namespace Hibiscus
