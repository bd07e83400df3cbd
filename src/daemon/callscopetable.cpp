#include "daemon/callscopetable.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr int kFirstServerErrorStatus = 500;

} // namespace

CallScopeTable::CallScopeTable(const Clock &clock)
    : clock_(clock)
{
}

void CallScopeTable::open(AttemptId attempt, CallScope scope, const std::string &requestId)
{
    entries_.emplace(attempt, Entry{std::move(scope), {}, 0, {}, {}, requestId});
    if (!requestId.empty()) {
        byRequest_.insert_or_assign(requestId, attempt);
        abandoned_.erase(requestId);
    }
}

std::optional<AttemptId> CallScopeTable::find(const std::string &requestId) const
{
    const auto found = byRequest_.find(requestId);
    return found == byRequest_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ChildCall> CallScopeTable::beginChild(AttemptId attempt, const ChildKey &key, int recentPeak)
{
    const auto found = entries_.find(attempt);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    Entry &entry = found->second;
    const std::string ordinal = key.isExplicit ? "" : "." + std::to_string(entry.completed[key.text]);
    if (entry.outstanding++ == 0) {
        entry.waitingSince = clock_.now();
    }
    const std::string separator = entry.scope.callPath.empty() ? "" : "/";
    return ChildCall{entry.scope.root, entry.scope.callPath + separator + key.text + ordinal, entry.scope.deadline,
                     entry.scope.attemptBudget.grantChild(recentPeak), key.text};
}

void CallScopeTable::endChild(AttemptId attempt, const ChildCall &child, const CallResult &result, bool repeatable)
{
    const auto found = entries_.find(attempt);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    entry.scope.attemptBudget.settleGrant(child.granted, result.spent);
    entry.summary.subtreeLevel =
        std::max({entry.summary.subtreeLevel, result.level.value_or(0), result.subtreeLevel.value_or(0)});
    if (result.response) {
        ++entry.completed[child.key];
    }
    if (!result.response || result.response->status >= kFirstServerErrorStatus) {
        entry.summary.childFailed = true;
    }
    if (!repeatable && result.outcome() != Outcome::NotRun) {
        entry.summary.nonRepeatableMayHaveRun = true;
    }
    if (--entry.outstanding == 0) {
        entry.summary.waitingForChildren = entry.summary.waitingForChildren + (clock_.now() - entry.waitingSince);
    }
}

bool CallScopeTable::isAbandoned(const std::string &requestId) const
{
    const auto found = abandoned_.find(requestId);
    return found != abandoned_.end() && clock_.now() - found->second < kAbandonedLifetime;
}

void CallScopeTable::recordAbandoned(const std::string &requestId)
{
    const TimePoint now = clock_.now();
    abandoned_.insert_or_assign(requestId, now);
    abandonedOrder_.emplace_back(now, requestId);
    while (abandonedOrder_.size() > kMaximumAbandoned || now - abandonedOrder_.front().first >= kAbandonedLifetime) {
        const auto &[abandonedAt, oldest] = abandonedOrder_.front();
        if (const auto found = abandoned_.find(oldest); found != abandoned_.end() && found->second <= abandonedAt) {
            abandoned_.erase(found);
        }
        abandonedOrder_.pop_front();
    }
}

ScopeSummary CallScopeTable::close(AttemptId attempt, ScopeEnd end)
{
    const auto found = entries_.find(attempt);
    if (found == entries_.end()) {
        return {};
    }
    Entry &entry = found->second;
    ScopeSummary summary = entry.summary;
    summary.spent = entry.scope.attemptBudget.spent();
    if (entry.outstanding > 0) {
        summary.waitingForChildren = summary.waitingForChildren + (clock_.now() - entry.waitingSince);
        summary.childFailed = true;
        // The outcome of the outstanding calls is not known yet.
        summary.nonRepeatableMayHaveRun = true;
    }
    if (const auto indexed = byRequest_.find(entry.requestId);
        indexed != byRequest_.end() && indexed->second == attempt) {
        byRequest_.erase(indexed);
        if (end == ScopeEnd::Abandoned) {
            recordAbandoned(entry.requestId);
        }
    }
    entries_.erase(found);
    return summary;
}

std::size_t CallScopeTable::size() const
{
    return entries_.size();
}

} // namespace Hibiscus
