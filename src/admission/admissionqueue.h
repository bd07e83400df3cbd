#ifndef HIBISCUS_ADMISSION_ADMISSIONQUEUE_H
#define HIBISCUS_ADMISSION_ADMISSIONQUEUE_H

#include "admission/ticket.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/** Longest time a ticket of any but the highest class is queued; a later start rarely helps its caller. */
inline constexpr Millis kMaxQueueTime{100};
/**
 * Longest time a ticket of the highest class, or one exempt from the level, is queued. Such tickets are delayed rather
 * than refused.
 */
inline constexpr Millis kMaxQueueTimeHighest{1000};

/** Whether @p ticket would miss its deadline if it started at @p now and ran for its expected own service time. */
bool missesDeadline(const Ticket &ticket, TimePoint now);

/** Short queue for each class: higher classes first, within a class in the order of arrival. */
class AdmissionQueue
{
public:
    explicit AdmissionQueue(int classCount);

    /** Adds classes; the number never falls. */
    void setClassCount(int classCount);

    /** Maximum queue length of one class. A queue that is already longer keeps its tickets. */
    void setMaxLength(std::size_t tickets);

    /** Adds a ticket; false if the queue of its class is full. The id must not be queued already. */
    bool push(const Ticket &ticket);

    /** Highest class with a queued ticket. */
    std::optional<int> highestClass() const;

    /** Removes the oldest ticket of @p classRank, which must have one. */
    Ticket pop(int classRank);

    bool contains(TicketId id) const;

    /** Removes a ticket; false if it is not queued. */
    bool cancel(TicketId id);

    /** Removes the tickets that can no longer finish before their deadline. */
    std::vector<Ticket> removeExpired(TimePoint now);

    /**
     * Removes the tickets that were queued for longer than kMaxQueueTime, or than kMaxQueueTimeHighest if they are of
     * class @p highestRank or exempt from the level.
     */
    std::vector<Ticket> removeTimedOut(TimePoint now, int highestRank);

    /** Removes the tickets of the classes below @p classRank, except those that are exempt from the level. */
    std::vector<Ticket> removeBelow(int classRank);

    std::vector<Ticket> removeAll();

    std::size_t size() const;

private:
    using Queue = std::list<Ticket>;

    template<class Predicate>
    std::vector<Ticket> removeIf(Predicate predicate);

    std::vector<Queue> classes_;
    std::unordered_map<TicketId, Queue::iterator> index_;
    std::size_t maxLength_ = 1;
};

} // namespace Hibiscus

#endif
