#include "admission/admissioncontroller.h"
#include "queuemodel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>

using namespace Hibiscus;

namespace
{

constexpr int kClasses = 3;

/** The controller and the state of each ticket as its caller sees it. Ids ascend in the order of arrival. */
struct Caller {
    ManualClock clock;
    AdmissionController controller{{.slots = 4, .classCount = kClasses}, clock};
    std::map<TicketId, Ticket> queued;
    std::map<TicketId, Ticket> running;
    std::array<std::uint64_t, kClasses> arrivedBeforeRefusal{};
    std::uint64_t arrived = 0;
    bool healthy = true;

    void arrive(int rank, int bucket, double deadline, double expectedTime)
    {
        const Ticket ticket{TicketId(++arrived), rank, bucket, clock.now(), clock.now() + Millis{deadline},
                            Millis{expectedTime}};
        const bool admitted = controller.level() <= ticket.level();
        const Decision decision = controller.arrive(ticket);
        if (decision.kind != Decision::Kind::Refused) {
            RC_ASSERT((!controller.draining() && healthy && admitted && expectedTime <= deadline));
            RC_ASSERT(controller.arrive(ticket).error == ErrorKind::InProgress);
        }
        if (decision.kind == Decision::Kind::RunNow) {
            start(ticket);
        } else if (decision.kind == Decision::Kind::Queued) {
            queued.emplace(ticket.id, ticket);
        } else if (controller.draining() || !healthy) {
            RC_ASSERT(decision.error == (controller.draining() ? ErrorKind::Draining : ErrorKind::Unreachable));
        } else if (expectedTime > deadline) {
            RC_ASSERT(decision.error == ErrorKind::DeadlineBeforeRun);
        } else {
            RC_ASSERT(decision.error == ErrorKind::Overloaded);
            arrivedBeforeRefusal.at(static_cast<std::size_t>(rank)) = arrived;
        }
    }

    void start(const Ticket &ticket)
    {
        RC_ASSERT((healthy && static_cast<int>(running.size()) < controller.limit()));
        RC_ASSERT(!missesDeadline(ticket, clock.now()));
        for (const auto &[id, other] : queued) {
            RC_ASSERT(other.classRank <= ticket.classRank);
            RC_ASSERT((other.classRank < ticket.classRank || id > ticket.id));
        }
        for (int rank = ticket.classRank + 1; rank < kClasses; ++rank) {
            RC_ASSERT(arrivedBeforeRefusal.at(static_cast<std::size_t>(rank)) < ticket.id.value());
        }
        running.emplace(ticket.id, ticket);
    }

    void apply(const Dispatch &dispatch)
    {
        for (const auto &[ticket, error] : dispatch.refused) {
            RC_ASSERT(queued.erase(ticket.id) == 1U);
            RC_ASSERT(errorResponseFor(error).outcome == Outcome::NotRun);
            RC_ASSERT((error == ErrorKind::Unreachable) == !healthy);
            RC_ASSERT((error == ErrorKind::DeadlineBeforeRun) == (healthy && missesDeadline(ticket, clock.now())));
            if (error == ErrorKind::Overloaded) {
                arrivedBeforeRefusal.at(static_cast<std::size_t>(ticket.classRank)) = arrived;
            }
        }
        for (const Ticket &ticket : dispatch.started) {
            RC_ASSERT(queued.erase(ticket.id) == 1U);
            start(ticket);
        }
    }

    void finish(std::size_t index, const ServiceSample &sample)
    {
        if (running.empty()) {
            return;
        }
        clock.advance({static_cast<double>(index % 20)});
        const auto it = std::next(running.begin(), static_cast<long>(index % running.size()));
        const TicketId id = it->first;
        running.erase(it);
        apply(controller.finished(id, sample));
    }

    void tick(double milliseconds)
    {
        clock.advance({milliseconds});
        apply(controller.tick());
        const bool highestQueued = std::any_of(
            queued.begin(), queued.end(), [](const auto &entry) { return entry.second.classRank == kClasses - 1; });
        RC_ASSERT((!highestQueued || static_cast<int>(running.size()) >= controller.limit()));
    }
};

struct EmptyModel {
};

/** Uniform number below @p end. Without the fixed size, short runs would hardly generate the upper ones. */
int below(int end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

struct ControllerStep : rc::state::Command<EmptyModel, Caller> {
    int op = below(100);
    int a = below(1000);
    int b = below(1000);

    void run(const EmptyModel & /*model*/, Caller &caller) const override
    {
        if (op < 50) {
            caller.arrive(a % kClasses, b % kBucketsPerClass, a, b % 300);
        } else if (op < 70) {
            caller.finish(
                static_cast<std::size_t>(a),
                {.total = {b / 5.0}, .waitingForChildren = {a / 10.0}, .serverShed = a % 9 == 0, .failed = b % 9 == 0});
        } else if (op < 88) {
            caller.tick(a / 8.0);
        } else if (op < 92) {
            const TicketId id(static_cast<std::uint64_t>(a) % (caller.arrived + 1));
            RC_ASSERT(caller.controller.cancel(id) == (caller.queued.erase(id) == 1U));
        } else if (op < 95) {
            caller.healthy = a % 3 != 0;
            caller.apply(caller.controller.setServerHealthy(caller.healthy));
        } else if (op < 96) {
            caller.controller.serverStarted();
        } else if (op < 99) {
            caller.controller.configure({.slots = 1 + a % 8, .classCount = kClasses});
        } else if (a % 2 == 0) {
            caller.controller.drain();
        }
        RC_ASSERT(caller.controller.queued() == caller.queued.size());
        const int running = static_cast<int>(caller.running.size());
        RC_ASSERT(caller.controller.running() == running);
        const bool takesWork = caller.healthy && !caller.controller.draining();
        RC_ASSERT(caller.controller.headroom() == (takesWork ? std::max(0, caller.controller.limit() - running) : 0));
    }
    void show(std::ostream &os) const override
    {
        os << "op " << op << " a " << a << " b " << b;
    }
};

double goodput(const std::array<QueueModel::Count, 2> &counts, double milliseconds, double capacity)
{
    return (counts[0].completed + counts[1].completed) / (milliseconds * capacity);
}

} // namespace

TEST_CASE("AdmissionController: every ticket ends in exactly one of started, refused and cancelled")
{
    // Guards against lost responses, work for an unhealthy or draining server, and inverted priority.
    CHECK(rc::check([] {
        Caller caller;
        rc::state::check(EmptyModel{}, caller, rc::state::gen::execOneOfWithArgs<ControllerStep>());
        while (!caller.running.empty()) {
            caller.finish(0, {.total = {10}, .waitingForChildren = {}});
        }
        caller.tick(1100);
        RC_ASSERT(caller.queued.empty());
    }));
}

TEST_CASE("AdmissionController: goodput in a 3x surge, recovery after it, and the highest class unaffected")
{
    // Guards against goodput below 95% of the capacity during the surge, a recovery of more than 2 s after it, and
    // refused deposits (the highest class) although the capacity suffices for them.
    struct Case {
        int slots;
        double ownTime, highShare;
        bool shedsUpstream;
    };
    for (const Case &testCase : {Case{140, 20, 0.2, false}, Case{140, 20, 0.2, true}, Case{40, 5, 0.2, true},
                                 Case{200, 100, 0.05, true}, Case{270, 3, 0.25, false}, Case{200, 50, 0.3, true}}) {
        CAPTURE(testCase.slots);
        CAPTURE(testCase.ownTime);
        QueueModel model(testCase.slots);
        const double capacity = testCase.slots / testCase.ownTime;
        Phase phase{.arrivals = 0.8 * capacity,
                    .share = {1 - testCase.highShare, testCase.highShare},
                    .ownTime = testCase.ownTime};
        phase.shedsUpstream = testCase.shedsUpstream;
        model.run(phase, 3000);
        CHECK(model.maxLevel == 0);

        phase.arrivals = 3 * capacity;
        const auto surge = model.run(phase, 10000);
        CHECK(goodput(surge, 10000, capacity) >= 0.95);
        CHECK(surge[1].refused + surge[1].late + surge[0].late == 0);
        CHECK(model.minLimit == testCase.slots);

        phase.arrivals = 0.8 * capacity;
        const auto recovery = model.run(phase, 2000);
        CHECK(recovery[1].refused == 0);
        CHECK(model.controller().level() == Level{0});
        const auto after = model.run(phase, 2000);
        CHECK(after[0].refused <= after[0].arrived / 50);

        phase.share = {0, 1};
        phase.arrivals = 3 * capacity;
        CHECK(goodput(model.run(phase, 5000), 5000, capacity) >= 0.95);
        CHECK(model.orderViolations == 0);
    }
}

TEST_CASE("AdmissionController: a slow or stopped deep service affects neither the limit nor the highest class")
{
    // Guards against deposits (the highest class) that fail because browsing requests hold the slots while they wait
    // for another service.
    for (const double childTime : {100.0, 1000.0, 60000.0}) {
        CAPTURE(childTime);
        QueueModel model(140);
        Phase phase{.arrivals = 4};
        model.run(phase, 3000);
        phase.childTime = {childTime, 0};
        const auto slow = model.run(phase, 5000);
        CHECK(model.minLimit == 140);
        CHECK(slow[1].refused + slow[1].late == 0);
        CHECK(slow[1].completed >= slow[1].arrived * 0.98);
        CHECK(model.orderViolations == 0);
    }
}

TEST_CASE("AdmissionController: the lowest class gets the free slots again after a surge of the highest")
{
    // Guards against a reserve that takes the lower classes for stalled, since it knows no hold time of theirs or only
    // one from before, and leaves them one slot while others stay idle.
    for (const int slots : {12, 62}) {
        CAPTURE(slots);
        constexpr double kOwnTime = 30;
        const double capacity = slots / kOwnTime;
        QueueModel model(slots);
        Phase phase{.arrivals = 1.2 * capacity, .share = {0.3, 0.7}, .ownTime = kOwnTime, .deadline = 800};
        model.run(phase, 1000);
        phase.share = {0.6, 0.4};
        phase.arrivals = 0.8 * capacity;
        const auto after = model.run(phase, 5000);
        CHECK(after[0].completed >= 0.9 * after[0].arrived);
        CHECK(after[1].completed >= 0.98 * after[1].arrived);

        // A server that becomes slower, though not enough for a trial of its limit, must not look as if it stood still.
        constexpr double kSlower = 1.9;
        phase.ownTime *= kSlower;
        phase.arrivals /= kSlower;
        const auto slow = model.run(phase, 1500);
        CHECK(slow[0].completed >= 0.9 * slow[0].arrived);
    }
}

TEST_CASE("AdmissionController: the limit and the goodput survive faults of the server")
{
    // Guards against a collapse of the limit or the goodput after a shift of the mix, a cold start or a wrong
    // inventory.
    SUBCASE("longer requests")
    {
        QueueModel model(140);
        model.run({.arrivals = 16, .ownTime = 10}, 3000);
        const Phase longer{.arrivals = 3.2, .ownTime = 50};
        model.run(longer, 3000);
        CHECK(goodput(model.run(longer, 5000), 5000, 2.8) >= 0.95);
        CHECK(model.minLimit == 140);
    }
    SUBCASE("idle, then saturated")
    {
        QueueModel model(200);
        model.run({.arrivals = 0.05, .ownTime = 200}, 6000);
        CHECK(goodput(model.run({.arrivals = 2, .ownTime = 200}, 10000), 10000, 1) >= 0.95);
        CHECK(model.minLimit == 200);
    }
    SUBCASE("half of the inventory's slots are real")
    {
        QueueModel model(140);
        const Phase phase{.arrivals = 10, .realSlots = 70};
        const auto counts = model.run(phase, 10000);
        CHECK(goodput(counts, 10000, 3.5) >= 0.95);
        CHECK(model.serverShed <= (counts[0].completed + counts[1].completed) / 10);
    }
    SUBCASE("sheds all load for a second")
    {
        QueueModel model(140);
        model.run({.arrivals = 10, .realSlots = 0}, 1000);
        CHECK(model.minLimit >= 140 / 4);
        model.run({.arrivals = 10}, 3000);
        CHECK(goodput(model.run({.arrivals = 10}, 2000), 2000, 7) >= 0.95);
    }
    SUBCASE("fewer cores than slots")
    {
        QueueModel model(140);
        model.run({.arrivals = 0.5, .cores = 30}, 3000);
        CHECK(goodput(model.run({.arrivals = 4.5, .cores = 30}, 10000), 10000, 1.5) >= 0.95);
        CHECK(model.minLimit <= 70);
    }
    SUBCASE("cold start")
    {
        QueueModel model(140);
        model.run({.arrivals = 4}, 3000);
        model.controller().serverStarted();
        const auto cold = model.run({.arrivals = 4, .ownTime = 60}, 5000);
        CHECK(model.minLimit >= 70);
        CHECK(cold[1].refused + cold[1].late == 0);
        model.run({.arrivals = 4}, 7000);
        CHECK(model.controller().limit() == 140);
        CHECK(model.controller().level() == Level{0});
    }
}

TEST_CASE("AdmissionController: a nested call stays queued when tickets of its class are refused")
{
    // Guards against calls of running requests that are refused beside free slots, because the level or a full queue of
    // a higher class removes what is queued below: the work of the requests that wait for them would be lost.
    ManualClock clock;
    AdmissionController controller({.slots = 1, .classCount = 2}, clock);
    std::uint64_t id = 0;
    const auto arrive = [&](int rank, bool isNested) {
        const TimePoint deadline = clock.now() + Millis{5000};
        return controller.arrive({TicketId(++id), rank, 0, {}, deadline, {}, isNested}).kind;
    };
    REQUIRE(arrive(1, false) == Decision::Kind::RunNow);
    REQUIRE(arrive(0, true) == Decision::Kind::Queued);
    const TicketId nested(id);
    REQUIRE(arrive(0, false) == Decision::Kind::Queued);
    const TicketId root(id);
    while (arrive(1, false) == Decision::Kind::Queued) { }
    const Dispatch dispatch = controller.tick();
    REQUIRE(dispatch.refused.size() == 1);
    CHECK(dispatch.refused[0].ticket.id == root);

    SUBCASE("and it runs when a slot is free")
    {
        for (std::uint64_t running = 1; running <= id; ++running) {
            for (const Ticket &started :
                 controller.finished(TicketId(running), {.total = {1}, .waitingForChildren = {}}).started) {
                CHECK(started.classRank == (started.id == nested ? 0 : 1));
            }
        }
        CHECK(controller.queued() == 0);
    }
    SUBCASE("but not when the server is down")
    {
        const std::size_t queued = controller.queued();
        CHECK(controller.setServerHealthy(false).refused.size() == queued);
        CHECK(controller.queued() == 0);
    }
}
