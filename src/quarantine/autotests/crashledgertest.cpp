#include "quarantine/crashledger.h"

#include "core/autotests/operationproperty.h"
#include "core/manualclock.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <memory>
#include <set>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr unsigned kSignatures = 4;
constexpr unsigned kLedgers = 3;
constexpr auto kAll = std::numeric_limits<std::size_t>::max();

struct Totals {
    int quarantined = 0, cleared = 0, lateCopies = 0;
} totals;

/**
 * Three daemons that detect crashes and completions, pause, restart, and exchange copies that arrive late, twice or by
 * way of another daemon. The oracle keeps the crashes that each daemon knows of in plain maps.
 */
class Deployment
{
public:
    static constexpr unsigned kKinds = 12;

    void step(const Operation &op)
    {
        const unsigned at = op.a % kLedgers;
        const Signature signature(op.b % kSignatures);
        if (op.kind <= 1) {
            crash(at, {signature, Signature(op.c % kSignatures)});
        } else if (op.kind == 2) {
            const bool wasCharged = views_[at].complete(signature);
            RC_ASSERT(ledgers_[at]->recordCompletion(signature) == wasCharged);
            totals.cleared += wasCharged ? 1 : 0;
        } else if (op.kind <= 5) {
            messages_.push_back({ledgers_[at]->exportReports(0, kAll).reports, views_[at], clock_.now()});
        } else if (op.kind <= 9 && !messages_.empty()) {
            const Message &copy = messages_.at(op.b % messages_.size());
            ledgers_[at]->merge(copy.reports);
            views_[at].merge(copy.view, clock_.now() - copy.sentAt, clock_.now());
        } else if (op.kind == 10) {
            advance(Millis{std::array<double, 4>{1, 9.5, 10, 31}.at(op.b % 4) * 60 * 1000});
        } else if (op.kind == 11 && op.b % 8 == 0) {
            ledgers_[at] = std::make_unique<CrashLedger>(clock_);
            views_[at] = {};
            reporters_[at] = ++lastReporter_;
            std::erase_if(revisions_, [at](const auto &r) { return r.first.first == at || r.first.second == at; });
        } else if (op.kind == 11) {
            synchronize();
        }
        checkAll();
    }

private:
    struct Fact {
        TimePoint crashedAt;
        std::map<Signature, bool> cleared;
    };

    /** Crashes that a daemon knows of. */
    struct View {
        std::map<CrashReportId, Fact> facts;
        std::map<Incarnation, std::uint64_t> watermarks;

        bool complete(Signature signature)
        {
            bool wasCharged = false;
            for (auto &[id, fact] : facts) {
                const auto entry = fact.cleared.find(signature);
                if (entry != fact.cleared.end()) {
                    wasCharged = wasCharged || !entry->second;
                    entry->second = true;
                }
            }
            return wasCharged;
        }
        void merge(const View &other, Millis delay, TimePoint now)
        {
            for (const auto &[id, otherFact] : other.facts) {
                const TimePoint crashedAt = otherFact.crashedAt + delay;
                const auto watermark = watermarks.find(id.reporter);
                if (watermark != watermarks.end() && id.sequence <= watermark->second) {
                    ++totals.lateCopies;
                } else if (now - crashedAt < CrashLedger::kReportLifetime) {
                    Fact &fact = facts.try_emplace(id, Fact{crashedAt, {}}).first->second;
                    fact.crashedAt = std::min(fact.crashedAt, crashedAt);
                    for (const auto &[signature, isCleared] : otherFact.cleared) {
                        fact.cleared[signature] = fact.cleared[signature] || isCleared;
                    }
                }
            }
        }
        void expire(TimePoint now)
        {
            for (const auto &[id, fact] : facts) {
                if (now - fact.crashedAt >= CrashLedger::kReportLifetime) {
                    watermarks[id.reporter] = std::max(watermarks[id.reporter], id.sequence);
                }
            }
            std::erase_if(facts, [this](const auto &item) {
                const auto watermark = watermarks.find(item.first.reporter);
                return watermark != watermarks.end() && item.first.sequence <= watermark->second;
            });
        }
        SignatureStatus check(Signature signature, TimePoint now) const
        {
            std::size_t crashes = 0;
            TimePoint latest{-1e18};
            for (const auto &[id, fact] : facts) {
                if (fact.cleared.contains(signature) && !fact.cleared.at(signature)) {
                    ++crashes;
                    latest = std::max(latest, fact.crashedAt);
                }
            }
            return crashes >= 3 && now - latest < CrashLedger::kQuarantine ? SignatureStatus::Quarantined
                : crashes >= 2                                             ? SignatureStatus::Suspect
                                                                           : SignatureStatus::Clear;
        }
    };

    struct Message {
        std::vector<CrashReport> reports;
        View view;
        TimePoint sentAt;
    };

    void crash(unsigned at, const std::vector<Signature> &inFlight)
    {
        const CrashReportId id{Incarnation(reporters_[at]), ++sequences_[reporters_[at]]};
        ledgers_[at]->recordCrash(inFlight, id);
        ledgers_[at]->recordCrash(inFlight, id);
        Fact &fact = views_[at].facts.try_emplace(id, Fact{clock_.now(), {}}).first->second;
        for (const Signature &signature : inFlight) {
            fact.cleared.try_emplace(signature, false);
        }
    }

    void advance(Millis duration)
    {
        clock_.advance(duration);
        for (unsigned i = 0; i < kLedgers; ++i) {
            ledgers_[i]->tick();
            views_[i].expire(clock_.now());
        }
    }

    /** Exchanges small differences until no ledger has changes left to export, after which all of them agree. */
    void synchronize()
    {
        int rounds = 0;
        for (bool isConverged = false; !isConverged;) {
            RC_ASSERT(++rounds < 10'000);
            isConverged = true;
            for (unsigned pair = 0; pair < kLedgers * kLedgers; ++pair) {
                const unsigned from = pair / kLedgers;
                const unsigned to = pair % kLedgers;
                std::uint64_t &revision = revisions_[{from, to}];
                const CrashDifference difference = ledgers_[from]->exportReports(revision, 3);
                RC_ASSERT(difference.reports.size() <= 3U);
                RC_ASSERT(difference.complete || difference.revision > revision);
                revision = difference.revision;
                ledgers_[to]->merge(difference.reports);
                isConverged = isConverged && difference.reports.empty();
            }
        }
        for (unsigned i = 0; i < 2 * kLedgers * kLedgers; ++i) {
            views_[i % kLedgers].merge(views_[i / kLedgers % kLedgers], Millis{0}, clock_.now());
        }
    }

    void checkAll() const
    {
        for (unsigned at = 0; at < kLedgers; ++at) {
            std::size_t entries = 0;
            for (const auto &[id, fact] : views_[at].facts) {
                entries += fact.cleared.size();
            }
            RC_ASSERT(ledgers_[at]->entryCount() == entries);
            std::size_t quarantined = 0;
            for (unsigned i = 0; i < kSignatures; ++i) {
                const SignatureStatus status = ledgers_[at]->check(Signature(i));
                RC_ASSERT(static_cast<int>(status) == static_cast<int>(views_[at].check(Signature(i), clock_.now())));
                quarantined += status == SignatureStatus::Quarantined ? 1U : 0U;
            }
            RC_ASSERT(ledgers_[at]->quarantined().size() == quarantined);
            totals.quarantined += static_cast<int>(quarantined);
        }
    }

    ManualClock clock_;
    std::array<std::unique_ptr<CrashLedger>, kLedgers> ledgers_{std::make_unique<CrashLedger>(clock_),
                                                                std::make_unique<CrashLedger>(clock_),
                                                                std::make_unique<CrashLedger>(clock_)};
    std::array<View, kLedgers> views_;
    std::array<std::uint64_t, kLedgers> reporters_{0, 1, 2};
    std::uint64_t lastReporter_ = 2;
    std::map<std::uint64_t, std::uint64_t> sequences_;
    std::vector<Message> messages_;
    std::map<std::pair<unsigned, unsigned>, std::uint64_t> revisions_; ///< Last export from one ledger to another.
};

} // namespace

TEST_CASE("CrashLedger: late, duplicated or reordered copies lead to the status that the oracle computes")
{
    // Guards against crashes that count twice, cleared entries that are charged again, and exports that never end.
    CHECK(checkOperations<Deployment>("crash ledger", 600));
    MESSAGE(totals.quarantined << " quarantined, " << totals.cleared << " cleared, " << totals.lateCopies
                               << " late copies");
    CHECK(std::min({totals.quarantined, totals.cleared, totals.lateCopies}) >= 10);
}

TEST_CASE("CrashLedger: a quarantine lasts 10 min, and the next crash renews it")
{
    // Guards against a poison request that may crash three more servers after each quarantine.
    ManualClock clock;
    CrashLedger ledger(clock);
    const Signature poison(1);
    const SignatureStatus before[] = {SignatureStatus::Clear, SignatureStatus::Clear, SignatureStatus::Suspect,
                                      SignatureStatus::Suspect};
    const SignatureStatus after[] = {SignatureStatus::Clear, SignatureStatus::Suspect, SignatureStatus::Quarantined,
                                     SignatureStatus::Quarantined};
    for (std::uint64_t i = 0; i < 4; ++i) {
        clock.advance(i < 3 ? Millis{1000} : CrashLedger::kQuarantine);
        CHECK(ledger.check(poison) == before[i]);
        ledger.recordCrash({poison, Signature(10 + i)}, {Incarnation(5), i + 1});
        CHECK(ledger.check(poison) == after[i]);
    }
    clock.advance(CrashLedger::kQuarantine - Millis{1});
    CHECK(ledger.quarantined() == std::vector{poison});
    CHECK(ledger.recordCompletion(poison));
    CHECK_FALSE(ledger.recordCompletion(poison));
    CHECK(ledger.check(poison) == SignatureStatus::Clear);
}

TEST_CASE("CrashLedger: a signature in flight in one crash is clear, one in flight in two is a suspect")
{
    // Guards against restricting all requests that were in flight in one crash to one at a time, though at most one of
    // them is the cause.
    ManualClock clock;
    CrashLedger ledger(clock);
    const Signature poison(1);
    const Signature unrelated(2);
    ledger.recordCrash({poison, unrelated}, {Incarnation(5), 1});
    CHECK(ledger.check(unrelated) == SignatureStatus::Clear);
    CHECK(ledger.check(poison) == SignatureStatus::Clear);
    ledger.recordCrash({poison, Signature(3)}, {Incarnation(6), 1});
    CHECK(ledger.check(poison) == SignatureStatus::Suspect);
    CHECK(ledger.check(unrelated) == SignatureStatus::Clear);
}

TEST_CASE("CrashLedger: memory is bounded, and discarded reports are not accepted again")
{
    // Guards against a failure of many servers that exhausts memory or restores cleared signatures.
    ManualClock clock;
    CrashLedger ledger(clock, {.entries = 10, .signaturesPerReport = 4, .reporters = 3});
    std::vector<CrashReport> reports;
    for (std::uint64_t i = 0; i < 50; ++i) {
        clock.advance(Millis{1});
        ledger.recordCrash({Signature(i), Signature(i + 1), Signature(i + 2), Signature(i + 3), Signature(i + 4)},
                           {Incarnation(i % 2), i});
        CHECK(ledger.entryCount() <= 10);
        if (i == 0) {
            ledger.recordCompletion(Signature(1));
            reports = {{{Incarnation(0), 0}, Millis{0}, {Signature(1)}, {}}};
        }
    }
    CHECK_FALSE(ledger.merge(reports));
    CHECK(ledger.check(Signature(1)) == SignatureStatus::Clear);
    // A completion returns true while the signature is charged.
    CHECK(ledger.recordCompletion(Signature(49)));
    CHECK_FALSE(ledger.recordCompletion(Signature(53)));
}

TEST_CASE("CrashLedger: the latest crash is exported first, and known ones are not forwarded")
{
    // Guards against a crash that is never exported because an older one fills the message, and against reports that
    // daemons forward to one another forever.
    ManualClock clock;
    CrashLedger ledger(clock);
    std::vector<Signature> many;
    for (std::uint64_t i = 0; i < 300; ++i) {
        many.emplace_back(100 + i);
    }
    ledger.recordCrash(many, {Incarnation(5), 1});
    ledger.recordCrash({Signature(1)}, {Incarnation(5), 2});
    const std::vector<CrashReport> latest = ledger.exportLatest(256);

    CrashLedger other(clock);
    CHECK(other.mergeReceived(latest));
    CHECK(other.entryCount() == 256);
    CHECK(other.recordCompletion(Signature(1)));
    CHECK_FALSE(other.mergeReceived(latest));
    ledger.recordCompletion(Signature(399));
    CHECK_FALSE(other.mergeReceived(ledger.exportLatest()));
    CHECK_FALSE(other.recordCompletion(Signature(399)));
}
