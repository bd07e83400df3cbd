#include "bench/tablebench.h"

#include "admission/admissioncontroller.h"
#include "bench/processorclock.h"
#include "bench/samplefleet.h"
#include "core/manualclock.h"
#include "execution/arbiter.h"
#include "execution/attempttable.h"
#include "quarantine/crashledger.h"
#include "routing/balancer.h"

#include <iomanip>
#include <memory>
#include <vector>

#include <malloc.h>

namespace Hibiscus
{

namespace
{

const HostAddress kAddress("10.20.100.100:20002");
const Incarnation kIncarnation(0x123456789abcdefULL);

/** Heap bytes in use. Freed small chunks count as in use until malloc_trim() consolidates them. */
double heapBytes()
{
    malloc_trim(0);
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

StoredResponse makeResponse(std::size_t bytes)
{
    return {200, {{"Content-Type", "application/json"}}, std::string(bytes, 'x')};
}

/** Limits that the benchmark never reaches. */
ResponseLimits highLimits()
{
    ResponseLimits limits;
    limits.totalBytes = std::size_t{4} << 30U;
    limits.reservedBytes = 1024;
    return limits;
}

} // namespace

TableBench::TableBench(std::size_t count, std::ostream &out)
    : count_(count)
    , out_(out)
{
}

void TableBench::print(const std::string &what, double bytes, double micros) const
{
    const double count = static_cast<double>(count_);
    out_ << std::left << std::setw(52) << what << std::right << std::fixed << std::setprecision(0) << std::setw(8)
         << bytes / count << " B" << std::setprecision(3) << std::setw(10) << micros / count << " us\n";
}

void TableBench::run()
{
    out_ << "table_bench, " << count_ << " entries; heap bytes and processor time per entry\n";
    arbiter(0);
    arbiter(1024);
    attempts(false, 0);
    attempts(true, 0);
    attempts(true, 1024);
    crashReports();
    admissionQueue();
    routes(24);
    routes(150);
    routes(900);
    configuration();
}

void TableBench::arbiter(std::size_t responseBytes)
{
    ManualClock clock;
    // The claim of a root request occupies two records: its identity and its call key.
    Arbiter table(kAddress, kIncarnation, clock, {2 * count_, highLimits()});
    std::vector<RequestIdentity> identities(count_);
    for (RequestIdentity &identity : identities) {
        identity = table.issue();
    }
    const double before = heapBytes();
    double claims = 0;
    {
        const ProcessorClock timer(claims);
        for (std::size_t i = 0; i < count_; ++i) {
            table.claim(identities[i], "", Signature(i), ClaimId(i + 1));
        }
    }
    print("arbiter: claim, running", heapBytes() - before, claims);
    double completions = 0;
    {
        const ProcessorClock timer(completions);
        for (std::size_t i = 0; i < count_; ++i) {
            table.complete(identities[i], "", ClaimId(i + 1), makeResponse(responseBytes));
        }
    }
    print("arbiter: complete, answer of " + std::to_string(responseBytes) + " B", heapBytes() - before, completions);
}

void TableBench::attempts(bool keepsResponse, std::size_t responseBytes)
{
    ManualClock clock;
    AttemptTable table(kIncarnation, clock, {count_ + 1, count_, highLimits()});
    const double before = heapBytes();
    double begins = 0;
    {
        const ProcessorClock timer(begins);
        for (std::size_t i = 0; i < count_; ++i) {
            table.begin(AttemptId(i * 0x9e3779b97f4a7c15ULL), kIncarnation, keepsResponse);
        }
    }
    const std::string kind = keepsResponse ? "non-repeatable" : "repeatable";
    print("attempt table: begin, " + kind, heapBytes() - before, begins);
    double completions = 0;
    {
        const ProcessorClock timer(completions);
        for (std::size_t i = 0; i < count_; ++i) {
            table.complete(AttemptId(i * 0x9e3779b97f4a7c15ULL), makeResponse(responseBytes));
        }
    }
    print("attempt table: complete, " + kind + ", answer of " + std::to_string(responseBytes) + " B",
          heapBytes() - before, completions);
}

void TableBench::crashReports()
{
    ManualClock clock;
    CrashLedger ledger(clock, {count_ + 1, 512, 2048});
    const double before = heapBytes();
    double micros = 0;
    {
        const ProcessorClock timer(micros);
        for (std::size_t i = 0; i < count_; ++i) {
            ledger.recordCrash({Signature(i * 0x9e3779b97f4a7c15ULL)}, {kIncarnation, i + 1});
        }
    }
    print("crash ledger: report of one signature", heapBytes() - before, micros);
}

void TableBench::admissionQueue()
{
    ManualClock clock;
    double arrivals = 0;
    double ends = 0;
    std::size_t queued = 0;
    double bytes = 0;
    constexpr int kSlots = 140;
    constexpr int kPerRound = 2 * kSlots;
    // Each round has twice as many tickets as slots: half of them run and half wait, as under overload.
    const std::size_t rounds = count_ / kPerRound + 1;
    for (std::size_t round = 0; round < rounds; ++round) {
        AdmissionController controller({kSlots, 4}, clock);
        const double before = heapBytes();
        {
            const ProcessorClock timer(arrivals);
            for (std::uint64_t i = 0; i < kPerRound; ++i) {
                controller.arrive({TicketId(i + 1), 0, static_cast<int>(i % 128), {}, clock.now() + Millis{5000}, {}});
            }
        }
        bytes += heapBytes() - before;
        queued += controller.queued();
        const ProcessorClock timer(ends);
        for (std::uint64_t i = 0; i < kPerRound; ++i) {
            controller.finished(TicketId(i + 1), {Millis{10}, Millis{0}});
        }
    }
    const double scale = static_cast<double>(count_) / static_cast<double>(rounds * kPerRound);
    print("admission: arrive (running or queued ticket)", bytes * scale, arrivals * scale);
    print("admission: finished, starts the next", 0, ends * scale);
    out_ << "  queued tickets in " << rounds << " rounds of " << kPerRound << ": " << queued << '\n';
}

void TableBench::routes(std::size_t servers)
{
    ManualClock clock;
    SeededRandom random(1);
    std::vector<ServerView> views;
    for (std::size_t i = 0; i < servers; ++i) {
        views.push_back({ServerName("raft-catalogue-" + std::to_string(i)), kAddress, Incarnation(i + 1),
                         FailureDomainName("kussharo-" + std::string(1, static_cast<char>('a' + i % 6))), false});
    }
    const double before = heapBytes();
    double updates = 0;
    constexpr int kUpdates = 100;
    Balancer balancer({ServerName("raft-catalogue-0"), FailureDomainName("kussharo-a")}, clock, random);
    for (int i = 0; i < kUpdates; ++i) {
        views.front().draining = i % 2 == 1;
        const ProcessorClock timer(updates);
        balancer.update(views);
    }
    const double bytes = heapBytes() - before;
    double picks = 0;
    {
        const ProcessorClock timer(picks);
        for (std::size_t i = 0; i < count_; ++i) {
            if (const auto name = balancer.pick(levelOf(1, 5), {})) {
                balancer.started(*name);
                balancer.finished(*name, {levelOf(0, 0), 10, true});
            }
        }
    }
    out_ << "balancer, " << servers << " servers of one service: " << std::setprecision(0)
         << bytes / static_cast<double>(servers) << " B per server, update " << std::setprecision(1)
         << updates / kUpdates << " us\n";
    print("balancer: pick, started and finished", 0, picks);
}

void TableBench::configuration()
{
    const Configuration sample = sampleConfiguration({}, ConfigVersion(7));
    Configuration withoutAudit = sample;
    withoutAudit.audit.clear();
    const std::string text = serializeConfiguration(sample);
    double micros = 0;
    constexpr int kParses = 20;
    const double before = heapBytes();
    const auto kept = parseConfiguration(text);
    const double bytes = heapBytes() - before;
    for (int i = 0; i < kParses; ++i) {
        const ProcessorClock timer(micros);
        const auto parsed = parseConfiguration(text);
    }
    out_ << std::setprecision(0) << "configuration of " << sample.inventory.servers.size() << " servers, "
         << sample.inventory.services.size() << " services, " << sample.rules.routes.size() << " routes, "
         << sample.audit.size() << " audit entries: " << text.size() << " B of text, "
         << text.size() - serializeConfiguration(withoutAudit).size() << " B of it audit, " << (kept ? bytes : 0)
         << " B parsed, parse " << micros / kParses << " us\n";
}

} // namespace Hibiscus
