// Measures time and memory of the decisions made for each call: admission and choice of the server.

#include "admission/admissioncontroller.h"
#include "core/manualclock.h"
#include "core/randomsource.h"
#include "core/steadyclock.h"
#include "routing/balancer.h"

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <new>

namespace
{

// Bytes allocated by operator new and not yet freed. The size of each block is stored in front of it.
std::size_t allocatedBytes = 0;
constexpr std::size_t kHeaderBytes = alignof(std::max_align_t);

} // namespace

void *operator new(std::size_t size)
{
    void *block = std::malloc(size + kHeaderBytes);
    if (!block) {
        throw std::bad_alloc();
    }
    *static_cast<std::size_t *>(block) = size;
    allocatedBytes += size;
    return static_cast<char *>(block) + kHeaderBytes;
}

void operator delete(void *pointer) noexcept
{
    if (!pointer) {
        return;
    }
    void *block = static_cast<char *>(pointer) - kHeaderBytes;
    allocatedBytes -= *static_cast<std::size_t *>(block);
    std::free(block);
}

void operator delete(void *pointer, std::size_t /*size*/) noexcept
{
    operator delete(pointer);
}

namespace Hibiscus
{

namespace
{

constexpr int kRounds = 1000000;
constexpr int kSlots = 140;
constexpr int kClasses = 4;

/** Calls @p call @p rounds times and prints the mean time of one call. */
void measure(const char *name, int rounds, const std::function<void(int)> &call)
{
    const SteadyClock clock;
    const TimePoint start = clock.now();
    for (int i = 0; i < rounds; ++i) {
        call(i);
    }
    std::printf("%-48s %9.1f ns\n", name, (clock.now() - start).value * 1e6 / rounds);
}

/** An admission controller and its running tickets. */
class AdmissionLoad
{
public:
    void arrive(int i)
    {
        const Ticket ticket{.id = TicketId(++sequence_),
                            .classRank = i % kClasses,
                            .bucket = i * 37 % kBucketsPerClass,
                            .arrival = {},
                            .deadline = clock.now() + Millis{60000},
                            .expectedOwnTime = {20}};
        if (controller.arrive(ticket).kind == Decision::Kind::RunNow) {
            running_.push_back(ticket.id);
        }
    }

    void finishOldest()
    {
        if (running_.empty()) {
            return;
        }
        const TicketId id = running_.front();
        running_.pop_front();
        recordStarted(controller.finished(id, {.total = {20}, .waitingForChildren = {5}}));
    }

    void recordStarted(const Dispatch &dispatch)
    {
        for (const Ticket &ticket : dispatch.started) {
            running_.push_back(ticket.id);
        }
    }

    ManualClock clock;
    AdmissionController controller{{.slots = kSlots, .classCount = kClasses}, clock};

private:
    std::deque<TicketId> running_;
    std::uint64_t sequence_ = 0;
};

void measureAdmission()
{
    AdmissionLoad light;
    for (int i = 0; i < kSlots / 2; ++i) {
        light.arrive(i);
    }
    measure("arrive + finished, half of the slots in use", kRounds, [&light](int i) {
        light.clock.advance({0.15});
        light.arrive(i);
        light.finishOldest();
    });

    AdmissionLoad surge;
    measure("3 arrive + finished, 3x overload, tick each 10 ms", kRounds, [&surge](int i) {
        surge.clock.advance({0.15});
        for (int k = 0; k < 3; ++k) {
            surge.arrive(i + k);
        }
        surge.finishOldest();
        if (i % 66 == 0) {
            surge.recordStarted(surge.controller.tick());
        }
    });

    AdmissionLoad full;
    for (int i = 0; i < kSlots; ++i) {
        full.arrive(kClasses - 1);
    }
    const std::size_t before = allocatedBytes;
    while (full.controller.queued() < kSlots * 8U) {
        full.arrive(kClasses - 1);
    }
    const auto queued = static_cast<double>(full.controller.queued());
    std::printf("%-48s %9.1f bytes\n", "queued ticket", static_cast<double>(allocatedBytes - before) / queued);
    measure("tick with 1120 queued", kRounds / 100, [&full](int) { full.recordStarted(full.controller.tick()); });
}

void measureRouting()
{
    ManualClock clock;
    SeededRandom random(1);
    Balancer balancer({ServerName("w0"), FailureDomainName("d0")}, clock, random);
    std::vector<ServerView> views;
    for (int i = 0; i < 24; ++i) {
        views.push_back({ServerName("server-" + std::to_string(i)), HostAddress("127.0.0.1:8080"), Incarnation(1),
                         FailureDomainName("d" + std::to_string(i % 6))});
    }
    const std::size_t before = allocatedBytes;
    balancer.update(views);
    for (const ServerView &server : balancer.subset()) {
        balancer.started(server.name);
        balancer.finished(server.name, {.level = levelOf(0, 3), .headroom = 20});
    }
    std::printf("%-48s %9.1f bytes\n", "server in a balancer", static_cast<double>(allocatedBytes - before) / 24);
    measure("pick + started + finished, 12 of 24 servers", kRounds, [&balancer](int i) {
        const auto name = balancer.pick(levelOf(1, i % kBucketsPerClass), {});
        if (name) {
            balancer.started(*name);
            balancer.finished(*name, {.level = levelOf(0, 3), .headroom = 20 + i % 8});
        }
    });
    measure("update, 24 servers unchanged", kRounds / 100, [&](int) { balancer.update(views); });
}

} // namespace

} // namespace Hibiscus

int main()
{
    Hibiscus::measureAdmission();
    Hibiscus::measureRouting();
    return 0;
}
