#include "admission/admissionqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>

using namespace Hibiscus;

namespace
{

constexpr int kClasses = 3;
constexpr std::size_t kLength = 4;

/** Oracle: all queued tickets in the order of arrival. */
struct Model {
    std::vector<Ticket> tickets;
    double now = 0;
    std::uint64_t next = 0;
};

template<class Predicate>
std::vector<std::uint64_t> takeIds(std::vector<Ticket> &tickets, Predicate predicate)
{
    std::vector<std::uint64_t> ids;
    std::erase_if(tickets, [&](const Ticket &ticket) {
        if (predicate(ticket)) {
            ids.push_back(ticket.id.value());
        }
        return predicate(ticket);
    });
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<std::uint64_t> idsOf(std::vector<Ticket> tickets)
{
    return takeIds(tickets, [](const Ticket &) { return true; });
}

struct QueueStep : rc::state::Command<Model, AdmissionQueue> {
    int op = *rc::gen::inRange(0, 9);
    int a = *rc::gen::inRange(0, kClasses);
    int b = *rc::gen::inRange(0, 200);

    std::vector<std::uint64_t> step(Model &model, AdmissionQueue *queue) const
    {
        std::vector<Ticket> taken;
        std::vector<std::uint64_t> expected;
        if (op < 4) {
            push(model, queue);
        } else if (op == 4 && !model.tickets.empty()) {
            const auto best =
                std::max_element(model.tickets.begin(), model.tickets.end(),
                                 [](const Ticket &x, const Ticket &y) { return x.classRank < y.classRank; });
            expected = {best->id.value()};
            model.tickets.erase(best);
            taken = queue ? std::vector{queue->pop(*queue->highestClass())} : taken;
        } else if (op == 5) {
            const TicketId id(static_cast<std::uint64_t>(b) % (model.next + 1));
            const bool known = !takeIds(model.tickets, [id](const Ticket &ticket) { return ticket.id == id; }).empty();
            RC_ASSERT((!queue || queue->cancel(id) == known));
        } else if (op == 6) {
            const TimePoint now{model.now};
            expected = takeIds(model.tickets, [now](const Ticket &ticket) { return isLate(ticket, now); });
            taken = queue ? queue->takeLate(now) : taken;
        } else if (op == 7) {
            expected = takeIds(model.tickets, [&](const Ticket &ticket) {
                return model.now - ticket.arrival.value > (ticket.classRank == kClasses - 1 ? 1000 : 100);
            });
            taken = queue ? queue->takeOverdue({model.now}, kClasses - 1) : taken;
        } else if (op == 8) {
            expected = takeIds(model.tickets, [&](const Ticket &ticket) { return ticket.classRank < a; });
            taken = queue ? queue->takeBelow(a) : taken;
        }
        RC_ASSERT((!queue || idsOf(taken) == expected));
        RC_ASSERT((!queue || queue->size() == model.tickets.size()));
        return expected;
    }

    void push(Model &model, AdmissionQueue *queue) const
    {
        model.now += b;
        const Ticket ticket{TicketId(++model.next), a, 0, {model.now}, {model.now + 3 * b}, {b / 2.0}};
        const auto inClass = std::count_if(model.tickets.begin(), model.tickets.end(),
                                           [this](const Ticket &one) { return one.classRank == a; });
        const bool fits = static_cast<std::size_t>(inClass) < kLength;
        if (fits) {
            model.tickets.push_back(ticket);
        }
        RC_ASSERT((!queue || queue->push(ticket) == fits));
    }

    void apply(Model &model) const override
    {
        step(model, nullptr);
    }
    void run(const Model &model, AdmissionQueue &queue) const override
    {
        Model copy = model;
        step(copy, &queue);
    }
    void show(std::ostream &os) const override
    {
        os << "op " << op << " a " << a << " b " << b;
    }
};

} // namespace

TEST_CASE("AdmissionQueue: no ticket is lost, duplicated or overtaken by one of its class or a lower one")
{
    // Guards against an answer that never comes because its ticket fell out of the queue.
    CHECK(rc::check([] {
        AdmissionQueue queue(kClasses);
        queue.setMaxLength(kLength);
        rc::state::check(Model{}, queue, rc::state::gen::execOneOfWithArgs<QueueStep>());
    }));
}
