#include "execution/arbiter.h"
#include "execution/attempttable.h"

#include "core/autotests/operationproperty.h"
#include "core/manualclock.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

struct Totals {
    int completed = 0, repeated = 0, notRun = 0, unknown = 0, fenced = 0, overloaded = 0, exhausted = 0;
} totals;

constexpr ResponseLimits kResponses{.totalBytes = 2000, .reservedBytes = 200, .largestBytes = 300};
constexpr ArbiterLimits kArbiterLimits{.records = 20, .responses = kResponses};
constexpr AttemptLimits kAttemptLimits{.records = 12, .fences = 6, .responses = kResponses};

/**
 * Simulates entry daemons that claim, dispatch, query and retry; one arbiter; one executing daemon; and a network that
 * delays, loses and duplicates messages. Arbiter and executing daemon restart, and pause while they have unread
 * messages. The oracle counts the actual runs and attempts, and records the outcomes that callers were informed of.
 */
class Simulation
{
public:
    static constexpr unsigned kKinds = 15;

    void step(const Operation &op)
    {
        if (identities_.empty() || (op.kind == 0 && op.a % 2 == 0)) {
            identities_.push_back(arbiter_->issue());
        }
        if (op.kind <= 1) {
            const std::size_t back = 1 + (op.a % std::min<std::size_t>(identities_.size(), 3));
            callers_.push_back({.identity = identities_.at(identities_.size() - back), .wanted = 1 + (2 * op.b)});
            sendClaim(callers_.size() - 1);
        } else if (op.kind == 2 && !callers_.empty()) {
            repeat(callers_.size() - 1 - (op.a % std::min<std::size_t>(callers_.size(), 20)), op.b);
        } else if (op.kind <= 5) {
            execute(op);
        } else if (op.kind == 6) {
            injectFault(op);
        } else if (!network_.empty()) {
            deliver(op.a % network_.size(), op.b);
        }
        RC_ASSERT(arbiter_->responseBytes() <= kResponses.totalBytes
                  && table_->responseBytes() <= kResponses.totalBytes);
        RC_ASSERT(arbiter_->recordCount() <= 20U && table_->recordCount() <= 18U);
    }

private:
    enum class Phase {
        Claiming,
        Dispatched,
        Ended,
    };
    struct Caller {
        RequestIdentity identity;
        unsigned wanted = 1;
        Phase phase = Phase::Claiming;
        int unspent = 0;
        AttemptId attempt{};
        Incarnation executor{};
        TimePoint dispatchedAt{};
    };
    struct Message {
        std::function<void()> deliver;
        bool isBegin = false;
    };

    void send(std::function<void()> deliver, bool isBegin = false)
    {
        network_.push_back({std::move(deliver), isBegin});
    }

    /** Delivers a message, loses it, or delivers one copy and keeps another for later. */
    void deliver(std::size_t i, unsigned choice)
    {
        const Message message = network_[i];
        if (choice % 10 != 0) {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (choice % 10 != 1) {
            message.deliver();
        }
    }

    void sendClaim(std::size_t i)
    {
        send([this, i, caller = callers_[i]] {
            const ClaimResult result = arbiter_->claim(caller.identity, "", Signature(caller.identity.sequence),
                                                       ClaimId(i), static_cast<int>(caller.wanted));
            // While an identity is live, its stored response is not dropped and its request does not run again.
            RC_ASSERT(result.state == ClaimState::Completed || !stored_.contains(caller.identity));
            send([this, i, result] { receiveClaim(i, result); });
        });
    }

    void receiveClaim(std::size_t i, const ClaimResult &result)
    {
        Caller &caller = callers_[i];
        if (caller.phase != Phase::Claiming || result.state == ClaimState::Wait) {
            return;
        }
        caller.phase = Phase::Ended;
        totals.overloaded += result.error == ErrorKind::Overloaded ? 1 : 0;
        totals.exhausted += result.error == ErrorKind::AttemptsExhausted ? 1 : 0;
        if (result.state == ClaimState::Granted) {
            caller.unspent = result.attempts;
            dispatch(i);
        } else if (result.state == ClaimState::Completed) {
            ++totals.repeated;
            checkResponse(caller.identity, *result.response);
        }
    }

    void dispatch(std::size_t i)
    {
        Caller &caller = callers_[i];
        --caller.unspent;
        ++attempts_[caller.identity];
        int held = attempts_[caller.identity];
        for (const Caller &holder : callers_) {
            held += holder.identity == caller.identity ? holder.unspent : 0;
        }
        RC_ASSERT(held <= kAttemptsPerUserAction);
        caller.phase = Phase::Dispatched;
        caller.attempt = AttemptId(++lastAttempt_);
        caller.executor = executorIncarnation_;
        caller.dispatchedAt = clock_.now();
        send([this, i, caller] { receiveBegin(i, caller.attempt, caller.executor); }, true);
    }

    void receiveBegin(std::size_t i, AttemptId attempt, Incarnation executor)
    {
        const BeginResult result = table_->begin(attempt, executor, true);
        totals.fenced += result == BeginResult::Fenced ? 1 : 0;
        if (result == BeginResult::Begun) {
            queue_.emplace_back(i, attempt);
        } else if (result != BeginResult::AlreadyBegun) {
            const bool isNotRun = result == BeginResult::Fenced || result == BeginResult::Full;
            sendReport(i, attempt, {isNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Unknown, nullptr});
        }
    }

    /** The backend server runs a queued attempt, rejects it, or crashes on it. */
    void execute(const Operation &op)
    {
        if (queue_.empty()) {
            return;
        }
        const auto [i, attempt] = queue_.at(op.a % queue_.size());
        std::erase(queue_, std::pair(i, attempt));
        if (op.b % 3 == 0) {
            table_->markNotRun(attempt);
            sendReport(i, attempt, {AttemptOutcome::NotRun, nullptr});
            return;
        }
        const RequestIdentity &identity = callers_[i].identity;
        RC_ASSERT(++runs_[identity] == 1);
        RC_ASSERT_FALSE(reportedNotRun_.contains(attempt));
        if (op.b % 12 == 1) {
            table_->markUnknown(attempt);
            return;
        }
        const StoredResponse stored{
            200, {{"padding", std::string(op.b % 12 == 2 ? 400 : 60, 'x')}}, formatRequestIdentity(identity)};
        table_->complete(attempt, stored);
        sendReport(i, attempt, {AttemptOutcome::Completed, std::make_shared<StoredResponse>(stored)});
    }

    /** Repeats a claim, or queries the attempt, or gives up. */
    void repeat(std::size_t i, unsigned choice)
    {
        const Caller &caller = callers_[i];
        if (caller.phase == Phase::Claiming) {
            sendClaim(i);
        } else if (caller.phase == Phase::Dispatched && choice % 8 == 0) {
            conclude(i, caller.attempt, {AttemptOutcome::Unknown, nullptr});
        } else if (caller.phase == Phase::Dispatched) {
            send([this, i, attempt = caller.attempt, executor = caller.executor] {
                sendReport(i, attempt, table_->query(attempt, executor));
            });
        }
    }

    void sendReport(std::size_t i, AttemptId attempt, const OutcomeReport &report)
    {
        send([this, i, attempt, report] { conclude(i, attempt, report); });
    }

    /** Handles the outcome of an attempt at the entry daemon, which retries, or settles the claim and responds. */
    void conclude(std::size_t i, AttemptId attempt, const OutcomeReport &received)
    {
        Caller &caller = callers_[i];
        const OutcomeReport report = interpretReport(received, clock_.now() - caller.dispatchedAt);
        if (caller.phase != Phase::Dispatched || caller.attempt != attempt
            || report.outcome == AttemptOutcome::Running) {
            return;
        }
        caller.phase = Phase::Ended;
        const RequestIdentity identity = caller.identity;
        const int unused = std::exchange(caller.unspent, 0);
        if (report.outcome == AttemptOutcome::Completed) {
            ++totals.completed;
            checkResponse(identity, *report.response);
            send([this, i, identity, report] {
                if (arbiter_->complete(identity, "", ClaimId(i), *report.response)) {
                    stored_.insert(identity);
                }
            });
        } else if (report.outcome != AttemptOutcome::NotRun) {
            ++totals.unknown;
            send([this, i, identity] { arbiter_->markUnknown(identity, "", ClaimId(i)); });
            // A late return must have no effect. The oracle counts attempts that may still be made as already made.
            attempts_[identity] += unused;
        } else {
            ++totals.notRun;
            reportedNotRun_.insert(attempt);
            if (unused > 0 && i % 2 == 0) {
                caller.unspent = unused;
                dispatch(i);
                return;
            }
            send([this, i, identity] { arbiter_->markNotRun(identity, "", ClaimId(i)); });
        }
        // Some entry daemons are lost before they return their unused attempts.
        if (i % 3 != 0 && (report.outcome == AttemptOutcome::Completed || report.outcome == AttemptOutcome::NotRun)) {
            send([this, i, identity, unused] { arbiter_->returnAttempts(identity, ClaimId(i), unused); });
        }
    }

    void checkResponse(const RequestIdentity &identity, const StoredResponse &response) const
    {
        RC_ASSERT(response.body == formatRequestIdentity(identity));
        RC_ASSERT(runs_.at(identity) == 1);
    }

    void injectFault(const Operation &op)
    {
        if (op.a % 16 == 0) {
            arbiter_ =
                std::make_unique<Arbiter>(HostAddress("a:1"), Incarnation(++lastIncarnation_), clock_, kArbiterLimits);
            stored_.clear();
        } else if (op.a % 16 == 1) {
            executorIncarnation_ = Incarnation(++lastIncarnation_);
            table_ = std::make_unique<AttemptTable>(executorIncarnation_, clock_, kAttemptLimits);
            queue_.clear();
        } else if (op.a % 16 == 2) {
            expireAll();
        } else {
            clock_.advance(op.a % 16 == 3 ? Millis{20.0 * 60 * 1000} : Millis{1000});
            arbiter_->tick();
            table_->tick();
        }
    }

    /**
     * Advances the time until everything has expired. Connections that are idle for so long are closed, and attempts
     * that were sent over them but not received are lost.
     */
    void expireAll()
    {
        std::erase_if(network_, [](const Message &message) { return message.isBegin; });
        for (int i = 0; i < 601; ++i) {
            clock_.advance(Millis{1000});
            arbiter_->tick();
            table_->tick();
        }
        stored_.clear();
        RC_ASSERT(arbiter_->recordCount() == 0U && arbiter_->responseBytes() == 0U);
        RC_ASSERT(table_->recordCount() == queue_.size());
        RC_ASSERT(table_->responseBytes() == queue_.size() * kResponses.reservedBytes);
    }

    ManualClock clock_;
    std::uint64_t lastIncarnation_ = 2;
    std::uint64_t lastAttempt_ = 0;
    Incarnation executorIncarnation_{2};
    std::unique_ptr<Arbiter> arbiter_ =
        std::make_unique<Arbiter>(HostAddress("a:1"), Incarnation(1), clock_, kArbiterLimits);
    std::unique_ptr<AttemptTable> table_ = std::make_unique<AttemptTable>(executorIncarnation_, clock_, kAttemptLimits);
    std::vector<RequestIdentity> identities_;
    std::vector<Caller> callers_;
    std::vector<Message> network_;
    std::vector<std::pair<std::size_t, AttemptId>> queue_; ///< Attempts that were begun but not yet executed.
    std::map<RequestIdentity, int> runs_;
    std::map<RequestIdentity, int> attempts_;
    std::set<RequestIdentity> stored_; ///< Identities whose response the arbiter has stored.
    std::set<AttemptId> reportedNotRun_;
};

} // namespace

TEST_CASE("Arbiter and AttemptTable: a request runs at most once and its caller gets the actual outcome")
{
    // Guards against a second run, a false "not run", the response to another request, more than 64 attempts and
    // unbounded memory when messages are lost, late or duplicated and processes pause or restart.
    CHECK(checkOperations<Simulation>("at most once", 3000));
    // Guards against a simulation that rarely reaches these cases, so that the check above passes without testing them.
    MESSAGE(totals.completed << " completed, " << totals.repeated << " repeated, " << totals.notRun << " not run, "
                             << totals.unknown << " unknown, " << totals.fenced << " fenced, " << totals.overloaded
                             << " overloaded, " << totals.exhausted << " exhausted");
    CHECK(std::min({totals.completed, totals.repeated, totals.notRun, totals.unknown, totals.fenced, totals.overloaded,
                    totals.exhausted})
          >= 20);
}
