#include "execution/arbiter.h"

#include "core/contenthash.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

namespace
{

// Issue times are kept for each second instead of each identity, so that an identity uses no memory until it is
// claimed.
constexpr Millis kIssuePeriod{1000};

ClaimResult refused(ErrorKind error)
{
    return {.state = ClaimState::Refused, .attempts = 0, .response = nullptr, .error = error};
}

} // namespace

// A claim compares the content as well, so a false match requires three equal 64-bit hashes within one identity, which
// has at most 64 call keys.
Arbiter::CallHash::CallHash(std::string_view callKey)
    : first(stableHash(callKey))
    , second(stableHash(callKey, 1))
{
}

int Arbiter::IdentityRecord::reserve(ClaimId claim, int wanted, bool ofClaim)
{
    const int attempts = std::min(std::max(wanted, 1), attemptsLeft);
    attemptsLeft -= attempts;
    grants.push_back({claim, attempts, ofClaim});
    return attempts;
}

std::vector<Arbiter::Grant>::iterator Arbiter::IdentityRecord::findGrant(ClaimId claim)
{
    return std::find_if(grants.begin(), grants.end(), [claim](const Grant &grant) { return grant.claim == claim; });
}

Arbiter::Arbiter(HostAddress address, Incarnation incarnation, const Clock &clock, const ArbiterLimits &limits)
    : address_(std::move(address))
    , incarnation_(incarnation)
    , clock_(clock)
    , limits_(limits)
    , budget_(limits.responses)
{
}

RequestIdentity Arbiter::issue()
{
    if (issuePeriods_.empty() || clock_.now() - issuePeriods_.back().start >= kIssuePeriod) {
        issuePeriods_.push_back({clock_.now(), nextSequence_});
    }
    return {address_, incarnation_, nextSequence_++};
}

ClaimResult Arbiter::claim(const RequestIdentity &identity, const std::string &callKey, Signature content,
                           ClaimId claim, int wantedAttempts)
{
    if (const auto error = identityError(identity)) {
        return refused(*error);
    }
    const CallHash callHash(callKey);
    if (const auto owner = identities_.find(identity.sequence); owner != identities_.end()) {
        if (const auto call = owner->second.calls.find(callHash); call != owner->second.calls.end()) {
            ClaimResult result = claimExisting(owner->second, call->second, content, claim, wantedAttempts);
            result.mayHaveRun = call->second.mayHaveRun;
            return result;
        }
    }
    return claimNew(identity.sequence, callHash, content, claim, wantedAttempts);
}

bool Arbiter::complete(const RequestIdentity &identity, const std::string &callKey, ClaimId claim,
                       StoredResponse response)
{
    CallRecord *call = currentCall(identity, callKey, claim);
    if (call == nullptr) {
        return false;
    }
    if (call->state == State::Completed) {
        return true;
    }
    if (call->state == State::Running) {
        budget_.release();
    }
    call->response = budget_.store(std::move(response));
    call->state = call->response ? State::Completed : State::Unknown;
    return call->response != nullptr;
}

bool Arbiter::markNotRun(const RequestIdentity &identity, const std::string &callKey, ClaimId claim)
{
    CallRecord *call = currentCall(identity, callKey, claim);
    if (call == nullptr || call->state != State::Running) {
        return false;
    }
    budget_.release();
    call->state = State::NotRun;
    call->endedClaims.push_back(claim);
    return true;
}

bool Arbiter::markRepeatable(const RequestIdentity &identity, const std::string &callKey, ClaimId claim)
{
    CallRecord *call = currentCall(identity, callKey, claim);
    if (call == nullptr || !markNotRun(identity, callKey, claim)) {
        return false;
    }
    call->mayHaveRun = true;
    return true;
}

bool Arbiter::markUnknown(const RequestIdentity &identity, const std::string &callKey, ClaimId claim, ErrorKind reason)
{
    CallRecord *call = currentCall(identity, callKey, claim);
    if (call == nullptr || call->state != State::Running) {
        return false;
    }
    budget_.release();
    call->state = State::Unknown;
    call->unknownReason = errorResponseFor(reason).outcome == Outcome::Unknown ? reason : ErrorKind::Internal;
    IdentityRecord &owner = identities_.at(identity.sequence);
    if (const auto grant = owner.findGrant(claim); grant != owner.grants.end()) {
        owner.grants.erase(grant);
    }
    return true;
}

Result<int> Arbiter::reserveAttempts(const RequestIdentity &identity, ClaimId claim, int wanted)
{
    if (const auto error = identityError(identity)) {
        return tl::unexpected(*error);
    }
    auto owner = identities_.find(identity.sequence);
    if (owner == identities_.end()) {
        if (!hasRoom(1)) {
            return tl::unexpected(ErrorKind::Overloaded);
        }
        owner = identities_.try_emplace(identity.sequence).first;
        ++recordCount_;
    }
    if (const auto grant = owner->second.findGrant(claim); grant != owner->second.grants.end()) {
        return grant->ofClaim ? Result<int>(tl::unexpected(ErrorKind::Internal)) : grant->attempts;
    }
    if (owner->second.attemptsLeft == 0) {
        return tl::unexpected(ErrorKind::AttemptsExhausted);
    }
    return owner->second.reserve(claim, wanted, false);
}

void Arbiter::returnAttempts(const RequestIdentity &identity, ClaimId claim, int unused)
{
    if (identityError(identity)) {
        return;
    }
    const auto owner = identities_.find(identity.sequence);
    if (owner == identities_.end()) {
        return;
    }
    const auto grant = owner->second.findGrant(claim);
    if (grant == owner->second.grants.end()) {
        return;
    }
    owner->second.attemptsLeft += std::clamp(unused, 0, grant->attempts - (grant->ofClaim ? 1 : 0));
    owner->second.grants.erase(grant);
}

void Arbiter::tick()
{
    clock_.tick();
    while (!issuePeriods_.empty() && issuePeriods_.front().start + kIssuePeriod + kIdentityLifetime <= clock_.now()) {
        issuePeriods_.pop_front();
        firstLiveSequence_ = issuePeriods_.empty() ? nextSequence_ : issuePeriods_.front().firstSequence;
    }
    while (!identities_.empty() && identities_.begin()->first < firstLiveSequence_) {
        removeOldest();
    }
}

int Arbiter::attemptsLeft(const RequestIdentity &identity) const
{
    if (identityError(identity)) {
        return 0;
    }
    const auto owner = identities_.find(identity.sequence);
    return owner == identities_.end() ? kAttemptsPerUserAction : owner->second.attemptsLeft;
}

std::size_t Arbiter::recordCount() const
{
    return recordCount_;
}

std::size_t Arbiter::responseBytes() const
{
    return budget_.usedBytes();
}

std::optional<ErrorKind> Arbiter::identityError(const RequestIdentity &identity) const
{
    if (identity.arbiter != address_ || identity.incarnation != incarnation_) {
        return ErrorKind::ArbiterLost;
    }
    if (identity.sequence == 0 || identity.sequence >= nextSequence_) {
        return ErrorKind::BadRequest;
    }
    if (identity.sequence < firstLiveSequence_) {
        return ErrorKind::IdentityExpired;
    }
    return std::nullopt;
}

Arbiter::CallRecord *Arbiter::currentCall(const RequestIdentity &identity, std::string_view callKey, ClaimId claim)
{
    if (identityError(identity)) {
        return nullptr;
    }
    const auto owner = identities_.find(identity.sequence);
    if (owner == identities_.end()) {
        return nullptr;
    }
    const auto call = owner->second.calls.find(CallHash(callKey));
    if (call == owner->second.calls.end() || call->second.state == State::NotRun || call->second.claim != claim) {
        return nullptr;
    }
    return &call->second;
}

ClaimResult Arbiter::claimExisting(IdentityRecord &owner, CallRecord &call, Signature content, ClaimId claim,
                                   int wantedAttempts)
{
    if (call.content != content) {
        return refused(ErrorKind::IdentityMismatch);
    }
    switch (call.state) {
    case State::Running:
        break;
    case State::Completed:
        return {.state = ClaimState::Completed, .attempts = 0, .response = call.response, .error = std::nullopt};
    case State::NotRun:
        return grantClaim(owner, call, claim, wantedAttempts);
    case State::Unknown:
        return refused(call.unknownReason);
    }
    if (call.claim != claim) {
        return {.state = ClaimState::Wait, .attempts = 0, .response = nullptr, .error = std::nullopt};
    }
    const auto grant = owner.findGrant(claim);
    const int attempts = grant == owner.grants.end() ? 1 : grant->attempts;
    return {.state = ClaimState::Granted, .attempts = attempts, .response = nullptr, .error = std::nullopt};
}

ClaimResult Arbiter::claimNew(std::uint64_t sequence, CallHash callHash, Signature content, ClaimId claim,
                              int wantedAttempts)
{
    const bool isNewIdentity = !identities_.contains(sequence);
    if (!hasRoom(isNewIdentity ? 2 : 1)) {
        return refused(ErrorKind::Overloaded);
    }

    CallRecord call;
    call.content = content;
    IdentityRecord newOwner;
    IdentityRecord &owner = isNewIdentity ? newOwner : identities_.at(sequence);
    ClaimResult result = grantClaim(owner, call, claim, wantedAttempts);
    if (result.state != ClaimState::Granted) {
        return result;
    }
    owner.calls.emplace(callHash, std::move(call));
    ++recordCount_;
    if (isNewIdentity) {
        identities_.emplace(sequence, std::move(newOwner));
        ++recordCount_;
    }
    return result;
}

ClaimResult Arbiter::grantClaim(IdentityRecord &owner, CallRecord &call, ClaimId claim, int wantedAttempts)
{
    const auto &ended = call.endedClaims;
    if (std::find(ended.begin(), ended.end(), claim) != ended.end() || owner.findGrant(claim) != owner.grants.end()) {
        return refused(ErrorKind::Internal);
    }
    if (owner.attemptsLeft == 0) {
        return refused(ErrorKind::AttemptsExhausted);
    }
    if (!budget_.reserve()) {
        return refused(ErrorKind::Overloaded);
    }
    call.state = State::Running;
    call.claim = claim;
    const int attempts = owner.reserve(claim, wantedAttempts, true);
    return {.state = ClaimState::Granted, .attempts = attempts, .response = nullptr, .error = std::nullopt};
}

bool Arbiter::hasRoom(std::size_t newRecords) const
{
    return recordCount_ + newRecords <= limits_.records;
}

void Arbiter::removeOldest()
{
    const auto oldest = identities_.begin();
    for (const auto &[hash, call] : oldest->second.calls) {
        if (call.state == State::Running) {
            budget_.release();
        } else if (call.response) {
            budget_.drop(*call.response);
        }
    }
    recordCount_ -= 1 + oldest->second.calls.size();
    identities_.erase(oldest);
}

} // namespace Hibiscus
