// Measures the memory per record and the time of the common operations of the execution and quarantine tables.
#include "core/manualclock.h"
#include "execution/arbiter.h"
#include "execution/attempttable.h"
#include "quarantine/crashledger.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kRecords = 50'000;
constexpr int kRepetitions = 5;
constexpr std::size_t kMebibyte = std::size_t{1} << 20U;

struct Measurement {
    double bytesPerRecord;
    double microsPerRecord;
};

/** Heap bytes in use, including blocks that were allocated by mmap(). */
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Creates and fills a table kRepetitions times. Returns the memory per record of the last one and the median time. */
template<class Table>
Measurement measure(const std::function<Table()> &create, const std::function<void(Table &, std::size_t)> &add)
{
    std::vector<double> micros;
    double bytes = 0;
    for (int repetition = 0; repetition < kRepetitions; ++repetition) {
        const std::size_t before = allocatedBytes();
        Table table = create();
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < kRecords; ++i) {
            add(table, i);
        }
        const std::chrono::duration<double, std::micro> passed = std::chrono::steady_clock::now() - start;
        micros.push_back(passed.count() / kRecords);
        bytes = static_cast<double>(allocatedBytes() - before) / kRecords;
    }
    std::sort(micros.begin(), micros.end());
    return {bytes, micros[micros.size() / 2]};
}

void print(const char *what, const Measurement &result)
{
    std::printf("%-58s %10.0f %12.3f\n", what, result.bytesPerRecord, result.microsPerRecord);
}

StoredResponse makeResponse(std::size_t bytes)
{
    return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = std::string(bytes, 'x')};
}

void benchArbiter(const Clock &clock)
{
    const std::function create = [&clock] {
        return Arbiter(HostAddress("127.0.0.1:8080"), Incarnation(1), clock,
                       {.records = 4 * kRecords, .responses = {.totalBytes = 2048 * kMebibyte}});
    };
    print("identity, issued only", measure<Arbiter>(create, [](Arbiter &arbiter, std::size_t) { arbiter.issue(); }));
    print("identity, attempts taken and returned", measure<Arbiter>(create, [](Arbiter &arbiter, std::size_t i) {
              const RequestIdentity identity = arbiter.issue();
              arbiter.reserveAttempts(identity, ClaimId(i), 16);
              arbiter.returnAttempts(identity, ClaimId(i), 15);
          }));
    print("identity and root call, running", measure<Arbiter>(create, [](Arbiter &arbiter, std::size_t i) {
              arbiter.claim(arbiter.issue(), "", Signature(i), ClaimId(i));
          }));
    print("identity and root call, completed with 1 KiB", measure<Arbiter>(create, [](Arbiter &arbiter, std::size_t i) {
              const RequestIdentity identity = arbiter.issue();
              arbiter.claim(identity, "", Signature(i), ClaimId(i));
              arbiter.complete(identity, "", ClaimId(i), makeResponse(1024));
          }));
}

void benchAttemptTable(const Clock &clock)
{
    const std::function create = [&clock] {
        return AttemptTable(Incarnation(1), clock,
                            {.records = kRecords, .fences = kRecords, .responses = {.totalBytes = 2048 * kMebibyte}});
    };
    print("repeatable attempt, completed", measure<AttemptTable>(create, [](AttemptTable &table, std::size_t i) {
              table.begin(AttemptId(i), Incarnation(1), false);
              table.complete(AttemptId(i), {});
          }));
    print("at-most-once attempt, completed with 1 KiB",
          measure<AttemptTable>(create, [](AttemptTable &table, std::size_t i) {
              table.begin(AttemptId(i), Incarnation(1), true);
              table.complete(AttemptId(i), makeResponse(1024));
          }));
    print("fence", measure<AttemptTable>(create, [](AttemptTable &table, std::size_t i) {
              table.query(AttemptId(i), Incarnation(1));
          }));
}

void benchCrashLedger(const Clock &clock)
{
    const std::function create = [&clock] { return CrashLedger(clock, {.entries = 10 * kRecords}); };
    print("crash report of 1 signature", measure<CrashLedger>(create, [](CrashLedger &ledger, std::size_t i) {
              ledger.recordCrash({Signature(i)}, {Incarnation(i % 900), i});
          }));
    print("crash report of 10 signatures", measure<CrashLedger>(create, [](CrashLedger &ledger, std::size_t i) {
              std::vector<Signature> inFlight;
              for (std::size_t k = 0; k < 10; ++k) {
                  inFlight.emplace_back((10 * i) + k);
              }
              ledger.recordCrash(inFlight, {Incarnation(i % 900), i});
          }));
    CrashLedger ledger = create();
    print("check of a signature that is not known",
          measure<int>([] { return 0; },
                       [&ledger](int &sum, std::size_t i) {
                           sum += ledger.check(Signature(i)) == SignatureStatus::Clear ? 1 : 0;
                       }));
}

} // namespace

int main()
{
    ManualClock clock;
    std::printf("%zu records each, median of %d runs\n%-58s %10s %12s\n", kRecords, kRepetitions, "", "bytes/record",
                "us/record");
    benchArbiter(clock);
    benchAttemptTable(clock);
    benchCrashLedger(clock);
    return 0;
}
