#include "admission/admissionqueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hibiscus
{

bool isLate(const Ticket &ticket, TimePoint now)
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

std::vector<Ticket> AdmissionQueue::takeLate(TimePoint now)
{
    return takeIf([now](const Ticket &ticket) { return isLate(ticket, now); });
}

std::vector<Ticket> AdmissionQueue::takeOverdue(TimePoint now, int highestRank)
{
    return takeIf([now, highestRank](const Ticket &ticket) {
        const bool mayWaitLong = ticket.isExemptFromLevel || ticket.classRank >= highestRank;
        const Millis longest = mayWaitLong ? kMaxQueueTimeHighest : kMaxQueueTime;
        return now - ticket.arrival > longest;
    });
}

std::vector<Ticket> AdmissionQueue::takeBelow(int classRank)
{
    std::vector<Ticket> taken;
    const std::size_t end = std::min(static_cast<std::size_t>(classRank), classes_.size());
    for (std::size_t i = 0; i < end; ++i) {
        for (const Ticket &ticket : classes_[i]) {
            index_.erase(ticket.id);
            taken.push_back(ticket);
        }
        classes_[i].clear();
    }
    return taken;
}

std::size_t AdmissionQueue::size() const
{
    return index_.size();
}

template<class Predicate>
std::vector<Ticket> AdmissionQueue::takeIf(Predicate predicate)
{
    std::vector<Ticket> taken;
    for (Queue &queue : classes_) {
        for (auto it = queue.begin(); it != queue.end();) {
            if (!predicate(*it)) {
                ++it;
                continue;
            }
            taken.push_back(*it);
            index_.erase(it->id);
            it = queue.erase(it);
        }
    }
    return taken;
}

} // namespace Hibiscus
