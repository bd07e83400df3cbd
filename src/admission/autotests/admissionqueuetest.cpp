#include "admission/admissionqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <tuple>

using namespace Hibiscus;

namespace
{

constexpr int kClasses = 3;
constexpr int kLength = 4;

std::vector<TicketId> idsOf(const std::vector<Ticket> &tickets)
{
    std::vector<TicketId> ids;
    std::transform(tickets.begin(), tickets.end(), std::back_inserter(ids),
                   [](const Ticket &ticket) { return ticket.id; });
    std::sort(ids.begin(), ids.end());
    return ids;
}

/** Oracle: removes the matching tickets from a list in the order of arrival and returns their ids. */
template<class Predicate>
std::vector<TicketId> removeIds(std::vector<Ticket> &tickets, Predicate predicate)
{
    const auto rest = std::stable_partition(tickets.begin(), tickets.end(), std::not_fn(predicate));
    const std::vector<Ticket> removed(rest, tickets.end());
    tickets.erase(rest, tickets.end());
    return idsOf(removed);
}

} // namespace

TEST_CASE("AdmissionQueue: no ticket is lost, duplicated or overtaken by one of its class or a lower one")
{
    // Guards against requests that never get a response because the queue lost their ticket.
    CHECK(rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> &steps) {
        AdmissionQueue queue(kClasses);
        queue.setMaxLength(kLength);
        std::vector<Ticket> model;
        std::uint64_t arrived = 0;
        TimePoint now{0};
        for (const auto &[choice, a, b] : steps) {
            const int op = choice % 12;
            const int rank = a % kClasses;
            const auto inClass = [rank](const Ticket &ticket) { return ticket.classRank == rank; };
            if (op < 5) {
                now = now + Millis{b * 1.0};
                const Ticket ticket{TicketId(++arrived), rank, 0, now, now + Millis{b * 3.0}, {b / 2.0}};
                const bool fits = std::count_if(model.begin(), model.end(), inClass) < kLength;
                RC_ASSERT(queue.push(ticket) == fits);
                model.insert(model.end(), fits ? 1 : 0, ticket);
            } else if (op < 7 && !model.empty()) {
                const auto best = std::max_element(model.begin(), model.end(), [](const Ticket &x, const Ticket &y) {
                    return x.classRank < y.classRank;
                });
                RC_ASSERT(queue.highestClass() == best->classRank);
                RC_ASSERT(queue.pop(best->classRank).id == best->id);
                model.erase(best);
            } else if (op < 9) {
                const TicketId id(b % (arrived + 1));
                const auto removed = removeIds(model, [id](const Ticket &ticket) { return ticket.id == id; });
                RC_ASSERT(queue.cancel(id) == !removed.empty());
            } else if (op < 10) {
                const auto expired =
                    removeIds(model, [now](const Ticket &ticket) { return missesDeadline(ticket, now); });
                RC_ASSERT(idsOf(queue.removeExpired(now)) == expired);
            } else if (op < 11) {
                const auto timedOut = removeIds(model, [now](const Ticket &ticket) {
                    return (now - ticket.arrival).value > (ticket.classRank == kClasses - 1 ? 1000 : 100);
                });
                RC_ASSERT(idsOf(queue.removeTimedOut(now, kClasses - 1)) == timedOut);
            } else {
                const auto lower = removeIds(model, [rank](const Ticket &ticket) { return ticket.classRank < rank; });
                RC_ASSERT(idsOf(queue.removeBelow(rank)) == lower);
            }
            RC_ASSERT(queue.size() == model.size());
        }
    }));
}
