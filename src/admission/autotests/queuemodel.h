#ifndef HIBISCUS_ADMISSION_AUTOTESTS_QUEUEMODEL_H
#define HIBISCUS_ADMISSION_AUTOTESTS_QUEUEMODEL_H

#include "admission/admissioncontroller.h"
#include "core/manualclock.h"
#include "core/randomsource.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <unordered_map>

namespace Hibiscus
{

/** Traffic and server behaviour during one phase of a QueueModel. Times are in ms, rates per ms. */
struct Phase {
    double arrivals = 0;
    std::array<double, 2> share{0.8, 0.2}; ///< Shares of class 0 and class 1 in the arrivals.
    double ownTime = 20; ///< Mean own service time; exponentially distributed.
    std::array<double, 2> childTime{0, 0}; ///< Time for which a request of the class waits for child calls.
    int realSlots = 1 << 20; ///< Requests that the server runs at a time; it sheds any others.
    double cores = 1e9; ///< With more requests in flight than cores, each takes longer in proportion.
    bool shedsUpstream = false; ///< The senders follow the reported level, so refused calls never arrive.
    double deadline = 5000;
};

/** One server with Poisson arrivals behind an AdmissionController; the same seed gives the same run. */
class QueueModel
{
public:
    struct Count {
        int arrived = 0, completed = 0, refused = 0, late = 0;
    };

    explicit QueueModel(int slots)
        : controller_({.slots = slots, .classCount = 2}, clock_)
    {
    }

    /** Runs one phase; the counts are those of this phase alone. */
    std::array<Count, 2> run(const Phase &phase, double milliseconds)
    {
        counts_ = {};
        minLimit = maxLevel = -1;
        const double end = now() + milliseconds;
        double nextArrival = now() + exponential(1 / phase.arrivals);
        while (now() < end) {
            const double nextCompletion = completions_.empty() ? end : completions_.top().first;
            const double next = std::min({nextArrival, nextCompletion, nextTick_, end});
            clock_.advance({next - now()});
            if (next == nextCompletion && !completions_.empty()) {
                finish(phase);
            } else if (next == nextArrival) {
                arrive(phase);
                nextArrival = now() + exponential(1 / phase.arrivals);
            } else if (next == nextTick_) {
                apply(controller_.tick(), phase);
                nextTick_ = now() + 10;
            }
            minLimit = minLimit < 0 ? controller_.limit() : std::min(minLimit, controller_.limit());
            maxLevel = std::max(maxLevel, controller_.level().value);
        }
        return counts_;
    }

    AdmissionController &controller()
    {
        return controller_;
    }

    int minLimit = 0, maxLevel = 0; ///< Lowest limit and highest level of the last phase.
    int orderViolations = 0; ///< Tickets that were started after a later and more important one had been refused.
    int serverShed = 0;

private:
    struct Request {
        Ticket ticket;
        double start = 0, own = 0;
        bool shed = false;
    };

    double now() const
    {
        return clock_.now().value;
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - static_cast<double>(random_.next() >> 11U) * 0x1p-53);
    }

    void arrive(const Phase &phase)
    {
        Ticket ticket{.id = TicketId(++sequence_),
                      .classRank = random_.below(1000) < phase.share[1] * 1000 ? 1 : 0,
                      .bucket = static_cast<int>(random_.below(kBucketsPerClass)),
                      .arrival = clock_.now(),
                      .deadline = clock_.now() + Millis{phase.deadline},
                      .expectedOwnTime = {}};
        Count &count = counts_[static_cast<std::size_t>(ticket.classRank)];
        ++count.arrived;
        if (phase.shedsUpstream && ticket.level() < controller_.level()) {
            ++count.refused;
            return;
        }
        tickets_.emplace(ticket.id, Request{.ticket = ticket});
        const Decision decision = controller_.arrive(ticket);
        if (decision.kind == Decision::Kind::RunNow) {
            start(ticket, phase);
        } else if (decision.kind == Decision::Kind::Refused) {
            refuse({ticket, decision.error});
        }
    }

    void start(const Ticket &ticket, const Phase &phase)
    {
        if (ticket.classRank == 0 && lastRefusal_[1] > ticket.arrival.value) {
            ++orderViolations;
        }
        Request &request = tickets_.at(ticket.id);
        request.start = now();
        request.shed = atServer_ >= phase.realSlots;
        if (request.shed) {
            ++serverShed;
            completions_.emplace(now() + 0.5, ticket.id);
            return;
        }
        ++atServer_;
        request.own = exponential(phase.ownTime) * std::max(1.0, atServer_ / phase.cores);
        const double child = phase.childTime[static_cast<std::size_t>(ticket.classRank)];
        completions_.emplace(now() + request.own + child, ticket.id);
    }

    void finish(const Phase &phase)
    {
        const TicketId id = completions_.top().second;
        completions_.pop();
        const Request request = tickets_.at(id);
        tickets_.erase(id);
        Count &count = counts_[static_cast<std::size_t>(request.ticket.classRank)];
        if (!request.shed) {
            --atServer_;
            ++(clock_.now() <= request.ticket.deadline ? count.completed : count.late);
        }
        const double total = now() - request.start;
        apply(controller_.finished(
                  id, {.total = {total}, .waitingForChildren = {total - request.own}, .serverShed = request.shed}),
              phase);
    }

    void refuse(const RefusedTicket &refused)
    {
        const auto rank = static_cast<std::size_t>(refused.ticket.classRank);
        ++counts_[rank].refused;
        if (refused.error == ErrorKind::Overloaded) {
            lastRefusal_[rank] = now();
        }
        tickets_.erase(refused.ticket.id);
    }

    void apply(const Dispatch &dispatch, const Phase &phase)
    {
        std::for_each(dispatch.refused.begin(), dispatch.refused.end(),
                      [this](const RefusedTicket &refused) { refuse(refused); });
        std::for_each(dispatch.started.begin(), dispatch.started.end(),
                      [this, &phase](const Ticket &ticket) { start(ticket, phase); });
    }

    using Completion = std::pair<double, TicketId>;

    ManualClock clock_;
    SeededRandom random_{20261204};
    AdmissionController controller_;
    std::unordered_map<TicketId, Request> tickets_;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
    std::array<Count, 2> counts_;
    std::array<double, 2> lastRefusal_{0, 0};
    std::uint64_t sequence_ = 0;
    int atServer_ = 0;
    double nextTick_ = 0;
};

} // namespace Hibiscus

#endif
