#ifndef HIBISCUS_EXECUTION_ARBITER_H
#define HIBISCUS_EXECUTION_ARBITER_H

#include "core/attemptlimit.h"
#include "core/errorkind.h"
#include "core/ids.h"
#include "core/pausesafeclock.h"
#include "execution/requestidentity.h"
#include "execution/responsebudget.h"
#include "execution/storedresponse.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/**
 * Chosen at random by a claimant for each claim() or reserveAttempts(), and reused only to repeat that call when its
 * result was lost. It distinguishes the messages of one claim from late copies that belong to another.
 */
using ClaimId = StrongId<struct ClaimIdTag, std::uint64_t>;

/** State of a claim as returned by Arbiter::claim(). */
enum class ClaimState {
    Granted, ///< The claimant runs the request and settles the claim.
    Wait, ///< Another claim is running: repeat the claim until it is settled or the deadline has passed.
    Completed, ///< The request has run; its stored response is in ClaimResult::response.
    Refused, ///< The request must not be run; the reason is in ClaimResult::error.
};

struct ClaimResult {
    ClaimState state = ClaimState::Refused;
    int attempts = 0; ///< Attempts granted with the claim, at least 1 if Granted, otherwise 0.
    StoredResponsePtr response; ///< Set if Completed.
    std::optional<ErrorKind> error; ///< Set if Refused; its outcome says whether the request may have run.
    /** The request may have run under an earlier claim, so a failure of this one must not be reported as "not run". */
    bool mayHaveRun = false;
};

/** Bounds of the memory of an arbiter. */
struct ArbiterLimits {
    std::size_t records = 100'000; ///< Identities and call keys together; 80 user actions a second fit.
    ResponseLimits responses;
};

/**
 * Decides which claimant may run a request, at most once for each identity and call key.
 *
 * A record is running, completed, not run (may be claimed again while attempts are left) or unknown (never runs again).
 * Each settlement names the claim that it settles. Settlements of earlier claims and repeated settlements have no
 * effect, so messages may arrive late, twice or not at all.
 *
 * Claimants wait by polling: the arbiter keeps no list of waiters, so a waiter that is lost leaves no state behind. A
 * process that serves remote claims can delay its response and repeat the claim locally until it is settled.
 *
 * Identities expire 10 min after issue (at most 1 s later) on a clock that does not advance across pauses. When a
 * memory bound is reached, new claims are refused as not run; no record is dropped before its identity has expired.
 */
class Arbiter
{
public:
    static constexpr Millis kIdentityLifetime{10.0 * 60 * 1000};

    /** @p clock is a plain monotonic clock and must outlive this object. */
    Arbiter(HostAddress address, Incarnation incarnation, const Clock &clock, const ArbiterLimits &limits = {});

    /** Issues an identity. It uses no memory until it is claimed. */
    RequestIdentity issue();

    /**
     * Claims the execution of a request. The call key is empty for the root request.
     *
     * A granted claim includes min(@p wantedAttempts, attempts left) attempts, at least 1. The first of them is
     * consumed by the claim and is never returned, which bounds the number of claims of a user action. Refusals:
     * ArbiterLost (another arbiter or incarnation), BadRequest (never issued), IdentityExpired, IdentityMismatch (other
     * content), AttemptsExhausted, Overloaded (memory bound), Internal (claim id already settled, or a response too
     * large to store), or the reason given to markUnknown(). A running claim that is repeated with the same id is
     * granted again with the same attempts.
     */
    ClaimResult claim(const RequestIdentity &identity, const std::string &callKey, Signature content, ClaimId claim,
                      int wantedAttempts = 1);

    /**
     * Settles a claim with the complete response. Also accepted after markUnknown() of the same claim. Returns whether
     * a resend will receive the response: false if the claim is not the current one or the response can't be stored.
     * In the latter case the record becomes unknown.
     */
    bool complete(const RequestIdentity &identity, const std::string &callKey, ClaimId claim, StoredResponse response);

    /** Settles a running claim: the request did not run and will never run under this claim. */
    bool markNotRun(const RequestIdentity &identity, const std::string &callKey, ClaimId claim);

    /**
     * Settles a running claim: the request may have run. Later claims are refused with @p reason, or with Internal if
     * the outcome of @p reason is not unknown. The attempts of the claim are never returned.
     */
    bool markUnknown(const RequestIdentity &identity, const std::string &callKey, ClaimId claim,
                     ErrorKind reason = ErrorKind::ConnectionLost);

    /**
     * Settles a running claim of a repeatable request that ran or may have run. It may be claimed again, and later
     * claims carry ClaimResult::mayHaveRun.
     */
    bool markRepeatable(const RequestIdentity &identity, const std::string &callKey, ClaimId claim);

    /**
     * Reserves up to @p wanted attempts of the user action for a call that needs no claim. Returns their number, at
     * least 1, or an error as claim() does. A repeated call with the same id returns the same attempts.
     */
    Result<int> reserveAttempts(const RequestIdentity &identity, ClaimId claim, int wanted);

    /**
     * Returns @p unused attempts of a claim() or reserveAttempts() whose response was complete or whose request did not
     * run. Takes effect once for each id, for no more attempts than were reserved, and not after markUnknown().
     */
    void returnAttempts(const RequestIdentity &identity, ClaimId claim, int unused);

    /** Advances the clock and removes expired identities. Must be called at least once a second. */
    void tick();

    /** Attempts left to the user action; 0 if the identity has expired or was not issued by this arbiter. */
    int attemptsLeft(const RequestIdentity &identity) const;
    /** Identities and call keys in memory. */
    std::size_t recordCount() const;
    /** Bytes of stored responses and reservations. */
    std::size_t responseBytes() const;

private:
    enum class State {
        Running,
        Completed,
        NotRun,
        Unknown,
    };

    struct CallRecord {
        State state = State::NotRun;
        Signature content;
        ClaimId claim;
        ErrorKind unknownReason = ErrorKind::Internal;
        bool mayHaveRun = false; ///< Set by markRepeatable().
        StoredResponsePtr response;
        std::vector<ClaimId> endedClaims; ///< Claims that ended as not run; at most kAttemptsPerUserAction.
    };

    struct Grant {
        ClaimId claim;
        int attempts;
        bool ofClaim; ///< Reserved by claim(), so one attempt is never returned.
    };

    /** Hash of a call key; the keys of deep calls contain those of all their parents and would use too much memory. */
    struct CallHash {
        explicit CallHash(std::string_view callKey);

        std::uint64_t first;
        std::uint64_t second;

        friend auto operator<=>(const CallHash &, const CallHash &) = default;
    };

    struct IdentityRecord {
        int reserve(ClaimId claim, int wanted, bool ofClaim);
        std::vector<Grant>::iterator findGrant(ClaimId claim);

        int attemptsLeft = kAttemptsPerUserAction;
        std::vector<Grant> grants; ///< Not yet returned; each holds 1 attempt or more.
        std::map<CallHash, CallRecord> calls;
    };

    /** Identities that were issued within one second. */
    struct IssuePeriod {
        TimePoint start;
        std::uint64_t firstSequence;
    };

    std::optional<ErrorKind> identityError(const RequestIdentity &identity) const;
    CallRecord *currentCall(const RequestIdentity &identity, std::string_view callKey, ClaimId claim);
    ClaimResult claimExisting(IdentityRecord &owner, CallRecord &call, Signature content, ClaimId claim,
                              int wantedAttempts);
    ClaimResult claimNew(std::uint64_t sequence, CallHash callHash, Signature content, ClaimId claim,
                         int wantedAttempts);
    ClaimResult grantClaim(IdentityRecord &owner, CallRecord &call, ClaimId claim, int wantedAttempts);
    bool hasRoom(std::size_t newRecords) const;
    void removeOldest();

    HostAddress address_;
    Incarnation incarnation_;
    PauseSafeClock clock_;
    ArbiterLimits limits_;
    ResponseBudget budget_;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t firstLiveSequence_ = 1;
    std::deque<IssuePeriod> issuePeriods_;
    std::map<std::uint64_t, IdentityRecord> identities_; ///< By sequence, so the oldest come first.
    std::size_t recordCount_ = 0;
};

} // namespace Hibiscus

#endif
