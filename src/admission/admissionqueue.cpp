#include "admission/admissionqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hibiscus
{

bool missesDeadline(const Ticket &ticket, TimePoint now)
{
    return now + ticket.expectedOwnTime > ticket.deadline;
}

AdmissionQueue::AdmissionQueue(int classCount)
{
    setClassCount(classCount);
}

void AdmissionQueue::setClassCount(int classCount)
{
    while (classes_.size() < static_cast<std::size_t>(classCount)) {
        classes_.emplace_back();
    }
}

void AdmissionQueue::setMaxLength(std::size_t tickets)
{
    maxLength_ = tickets;
}

bool AdmissionQueue::push(const Ticket &ticket)
{
    Queue &queue = classes_.at(static_cast<std::size_t>(ticket.classRank));
    if (queue.size() >= maxLength_) {
        return false;
    }
    queue.push_back(ticket);
    index_.emplace(ticket.id, std::prev(queue.end()));
    return true;
}

std::optional<int> AdmissionQueue::highestClass() const
{
    for (std::size_t i = classes_.size(); i-- > 0;) {
        if (!classes_[i].empty()) {
            return static_cast<int>(i);
        }
    }
    return std::nullopt;
}

Ticket AdmissionQueue::pop(int classRank)
{
    Queue &queue = classes_.at(static_cast<std::size_t>(classRank));
    Ticket ticket = queue.front();
    index_.erase(ticket.id);
    queue.pop_front();
    return ticket;
}

bool AdmissionQueue::contains(TicketId id) const
{
    return index_.contains(id);
}

bool AdmissionQueue::cancel(TicketId id)
{
    const auto found = index_.find(id);
    if (found == index_.end()) {
        return false;
    }
    classes_.at(static_cast<std::size_t>(found->second->classRank)).erase(found->second);
    index_.erase(found);
    return true;
}

std::vector<Ticket> AdmissionQueue::removeExpired(TimePoint now)
{
    return removeIf([now](const Ticket &ticket) { return missesDeadline(ticket, now); });
}

std::vector<Ticket> AdmissionQueue::removeTimedOut(TimePoint now, int highestRank)
{
    return removeIf([now, highestRank](const Ticket &ticket) {
        const bool mayWaitLong = ticket.isExemptFromLevel || ticket.classRank >= highestRank;
        const Millis maxQueueTime = mayWaitLong ? kMaxQueueTimeHighest : kMaxQueueTime;
        return now - ticket.arrival > maxQueueTime;
    });
}

std::vector<Ticket> AdmissionQueue::removeBelow(int classRank)
{
    return removeIf(
        [classRank](const Ticket &ticket) { return ticket.classRank < classRank && !ticket.isExemptFromLevel; });
}

std::vector<Ticket> AdmissionQueue::removeAll()
{
    return removeIf([](const Ticket &) { return true; });
}

std::size_t AdmissionQueue::size() const
{
    return index_.size();
}

template<class Predicate>
std::vector<Ticket> AdmissionQueue::removeIf(Predicate predicate)
{
    std::vector<Ticket> removed;
    for (Queue &queue : classes_) {
        for (auto it = queue.begin(); it != queue.end();) {
            if (!predicate(*it)) {
                ++it;
                continue;
            }
            removed.push_back(*it);
            index_.erase(it->id);
            it = queue.erase(it);
        }
    }
    return removed;
}

} // namespace Hibiscus
