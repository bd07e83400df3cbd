#include "execution/arbiter.h"

#include "core/manualclock.h"

#include <sstream>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr ArbiterLimits kLimits{
    .records = 5, .keyBytes = 8, .answers = {.totalBytes = 1000, .reservedBytes = 300, .largestBytes = 500}};

/**
 * Runs a script of words "<call><claim id>" against an arbiter with two identities and reports the answers. Claims are
 * c (root call), k (child call), x (other content), o (second identity) and m (root call, 40 attempts).
 */
std::string runScript(const std::string &script)
{
    ManualClock clock;
    Arbiter arbiter(HostAddress("a:1"), Incarnation(7), clock, kLimits);
    const RequestIdentity tap = arbiter.issue();
    const RequestIdentity other = arbiter.issue();
    std::istringstream words(script);
    std::string answers;
    for (std::string word; words >> word;) {
        const char call = word.front();
        const ClaimId id(word.size() > 1 ? std::stoul(word.substr(1)) : 0);
        std::string answer = "-";
        if (std::string("ckxom").find(call) != std::string::npos) {
            const ClaimResult result = arbiter.claim(call == 'o' ? other : tap, call == 'k' ? "child" : "",
                                                     Signature(call == 'x' ? 1 : 0), id, call == 'm' ? 40 : 1);
            answer = result.state == ClaimState::Granted ? "run" + std::to_string(result.attempts)
                : result.state == ClaimState::Wait       ? "wait"
                : result.state == ClaimState::Completed  ? "done" + std::to_string(result.answer->status)
                                                         : std::string(answerFor(*result.error).name);
        } else if (call == 'C' || call == 'L') { // Complete, with a small or a large answer.
            const StoredAnswer stored{static_cast<int>(id.value()), {}, std::string(call == 'L' ? 600 : 1, 'x')};
            answer = arbiter.complete(tap, "", id, stored) ? "ok" : "no";
        } else if (call == 'N') {
            answer = arbiter.markNotRun(tap, "", id) ? "ok" : "no";
        } else if (call == 'U') {
            answer = arbiter.markUnknown(tap, "", id, ErrorKind::ServerCrashed) ? "ok" : "no";
        } else if (call == 't') {
            const Result<int> taken = arbiter.takeAttempts(tap, id, 40);
            answer = taken ? std::to_string(*taken) : std::string(answerFor(taken.error()).name);
        } else if (call == 'r') {
            arbiter.returnAttempts(tap, id, 1000);
            answer = std::to_string(arbiter.attemptsLeft(tap));
        } else { // 'w': work for that many seconds; 'p': one second that includes a pause of an hour.
            for (std::uint64_t i = 0; i < (call == 'p' ? 1 : id.value()); ++i) {
                clock.advance(Millis{call == 'p' ? 3'600'000.0 : 1000.0});
                arbiter.tick();
            }
        }
        answers += (answers.empty() ? "" : " ") + answer;
    }
    return answers;
}

} // namespace

TEST_CASE("Arbiter: fault cases")
{
    const struct {
        const char *guardsAgainst;
        const char *script;
        const char *answers;
    } cases[] = {
        {"two runs of one request", "c1 c2 c1", "run1 wait run1"},
        {"a second run after completion", "c1 C1 c2 c1", "run1 ok done1 done1"},
        {"a second run after an unknown outcome", "c1 U1 c2 c1", "run1 ok server-crashed server-crashed"},
        {"no retry although nothing ran", "c1 N1 c2 C2 c3", "run1 ok run1 ok done2"},
        {"a late copy of a claim that has ended", "c1 N1 c1 c2", "run1 ok internal run1"},
        {"a late settlement that ends another claim", "c1 N1 c2 N1 U1 C1 c3", "run1 ok run1 no no no wait"},
        {"a late settlement after completion", "c1 C1 N1 U1 C1 c2", "run1 ok no no ok done1"},
        {"a run after unknown and not run", "c1 U1 N1 c2", "run1 ok no server-crashed"},
        {"an answer lost because it came after unknown", "c1 U1 C1 c2", "run1 ok ok done1"},
        {"other content under the same identity", "c1 x2 N1 x3", "run1 identity-mismatch ok identity-mismatch"},
        {"a child call that is taken for its parent", "c1 k2 C1 k3", "run1 run1 ok wait"},
        {"a second run because the answer is too large", "c1 L1 c2", "run1 no internal"},
        {"expiry during a pause", "c1 C1 p w599 c2", "run1 ok - - done1"},
        {"a run after expiry", "c1 C1 w601 c2 t3 r1", "run1 ok - identity-expired identity-expired 0"},
        {"more attempts than a user action has", "m1 N1 m2 N2 c3", "run40 ok run24 ok attempts-exhausted"},
        {"attempts that are returned twice", "t1 r1 t2 r1", "40 64 40 24"},
        {"the price of a claim that is returned", "m1 r1 r1", "run40 63 63"},
        {"attempts given twice for a repeated message", "m1 m1 t2 t2", "run40 run40 24 24"},
        {"attempts restored for an unknown outcome", "m1 U1 r1", "run40 ok 24"},
        {"the memory bound of answers exceeded", "c1 k2 o3", "run1 run1 run1"},
        {"a record dropped for another", "c1 k2 C1 o3 c4", "run1 run1 ok run1 done1"},
    };
    for (const auto &[guardsAgainst, script, answers] : cases) {
        CAPTURE(guardsAgainst);
        CHECK(runScript(script) == answers);
    }
}

TEST_CASE("Arbiter: identities that are not its own are refused")
{
    // Guards against a run for an identity of a lost process, and for one that was made up.
    ManualClock clock;
    Arbiter arbiter(HostAddress("a:1"), Incarnation(7), clock, kLimits);
    const RequestIdentity own = arbiter.issue();
    const std::pair<RequestIdentity, ErrorKind> cases[] = {
        {{own.arbiter, Incarnation(8), 1}, ErrorKind::ArbiterLost},
        {{HostAddress("b:1"), own.incarnation, 1}, ErrorKind::ArbiterLost},
        {{own.arbiter, own.incarnation, 0}, ErrorKind::BadRequest},
        {{own.arbiter, own.incarnation, 2}, ErrorKind::BadRequest},
    };
    for (const auto &[identity, error] : cases) {
        CHECK(arbiter.claim(identity, "", Signature(0), ClaimId(1)).error == error);
        CHECK(arbiter.takeAttempts(identity, ClaimId(1), 1).error() == error);
    }
    CHECK(arbiter.claim(own, std::string(9, 'k'), Signature(0), ClaimId(1)).error == ErrorKind::BadRequest);
    CHECK(arbiter.recordCount() == 0);
}
