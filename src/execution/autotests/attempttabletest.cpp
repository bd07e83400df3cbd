#include "execution/attempttable.h"

#include "core/manualclock.h"

#include <sstream>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr AttemptLimits kLimits{
    .records = 3, .fences = 2, .responses = {.totalBytes = 700, .reservedBytes = 300, .largestBytes = 500}};

/** Runs a script of words "<call><attempt id>" against a table and returns the results. */
std::string runScript(const std::string &script)
{
    static const char *const beginNames[] = {"begun", "again", "fenced", "full", "other", "unfenced"};
    static const char *const outcomeNames[] = {"running", "done", "notkept", "notrun", "unknown"};
    ManualClock clock;
    AttemptTable table(Incarnation(7), clock, kLimits);
    std::istringstream words(script);
    std::string results;
    for (std::string word; words >> word;) {
        const char call = word.front();
        const AttemptId id(word.size() > 1 ? std::stoul(word.substr(1)) : 0);
        std::string result = "-";
        if (call == 'b' || call == 'B' || call == 'o') { // Begin: repeatable, at most once, for another incarnation.
            result = beginNames[static_cast<int>(table.begin(id, Incarnation(call == 'o' ? 8 : 7), call == 'B'))];
        } else if (call == 'C' || call == 'L') { // Complete, with a small or a large response.
            result = table.complete(id, {200, {}, std::string(call == 'L' ? 600 : 1, 'x')}) ? "ok" : "no";
        } else if (call == 'N' || call == 'U') {
            result = (call == 'N' ? table.markNotRun(id) : table.markUnknown(id)) ? "ok" : "no";
        } else if (call == 'q' || call == 'Q') { // Query, for this incarnation or (Q) another one.
            const OutcomeReport report = table.query(id, Incarnation(call == 'Q' ? 8 : 7));
            result = outcomeNames[static_cast<int>(report.outcome)];
            CHECK((report.outcome == AttemptOutcome::Completed) == (report.response != nullptr));
        } else { // 'w': that many seconds pass; 'p': one second that includes a pause of an hour.
            for (std::uint64_t i = 0; i < (call == 'p' ? 1 : id.value()); ++i) {
                clock.advance(Millis{call == 'p' ? 3'600'000.0 : 1000.0});
                table.tick();
            }
        }
        results += (results.empty() ? "" : " ") + result;
    }
    return results;
}

} // namespace

TEST_CASE("AttemptTable: fault cases")
{
    const struct {
        std::string guardsAgainst, script, results;
    } cases[] = {
        {"a late begin after its fence", "q1 B1 q1", "notrun fenced notrun"},
        {"a second run by a duplicate", "B1 B1 C1 B1", "begun again ok again"},
        {"an outcome that a repeated query does not return", "B1 q1 C1 q1", "begun running ok done"},
        {"a rejected attempt that runs later", "B1 N1 B1 q1", "begun ok fenced notrun"},
        {"a crash that is reported as not run", "B1 U1 q1 N1 C1", "begun ok unknown no no"},
        {"a query for another incarnation that fences an attempt of this one", "Q1 B1", "unknown begun"},
        {"a run of an attempt that an earlier incarnation may have run", "o1 B1", "other begun"},
        {"a fence that expires during a pause", "q1 p w598 B1 w1 B1", "notrun - - fenced - begun"},
        {"a running attempt that expires", "B1 w700 B1 q1", "begun - again running"},
        {"records of repeatable attempts that do not expire", "b1 C1 w119 b1 w1 q1", "begun ok - again - notrun"},
        {"responses that fill the memory for the whole lifetime", "B1 C1 w119 q1 w1 q1 B1",
         "begun ok - done - notkept again"},
        {"a response beyond the bound", "B1 L1 q1 b2 C2 q2", "begun ok notkept begun ok notkept"},
        {"a refused attempt that begins later", "B1 B2 B3 C1 w600 B3", "begun begun full ok - begun"},
        {"a refused attempt that begins when there is room", "B1 B2 B3 N1 B3", "begun begun full ok fenced"},
        {"fences without a bound", "q1 q2 q3 B3", "notrun notrun unknown begun"},
        {"records without a bound", "b1 b2 b3 b4 b5 b6 b4", "begun begun begun full full unfenced fenced"},
    };
    for (const auto &[guardsAgainst, script, results] : cases) {
        CAPTURE(guardsAgainst);
        CHECK(runScript(script) == results);
    }
}

TEST_CASE("AttemptTable: an old report of a fence is interpreted as unknown")
{
    // Guards against a false "not run" that an entry daemon reports to its caller after a pause.
    const Millis limit = AttemptTable::kReportValidity;
    CHECK(limit < AttemptTable::kRepeatableLifetime);
    CHECK(interpretReport({AttemptOutcome::NotRun, nullptr}, limit - Millis{1}).outcome == AttemptOutcome::NotRun);
    CHECK(interpretReport({AttemptOutcome::NotRun, nullptr}, limit).outcome == AttemptOutcome::Unknown);
    CHECK(interpretReport({AttemptOutcome::Running, nullptr}, limit).outcome == AttemptOutcome::Running);
}
