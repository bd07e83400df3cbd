#include "execution/attempttable.h"

#include <utility>

namespace Hibiscus
{

// expire() does not release the memory of stored responses, so they must expire before their records.
static_assert(AttemptTable::kResponseLifetime < AttemptTable::kLifetime);

OutcomeReport interpretReport(const OutcomeReport &report, Millis sinceDispatch)
{
    if (report.outcome == AttemptOutcome::NotRun && sinceDispatch >= AttemptTable::kReportValidity) {
        return {AttemptOutcome::Unknown, nullptr};
    }
    return report;
}

AttemptTable::AttemptTable(Incarnation incarnation, const Clock &clock, const AttemptLimits &limits)
    : incarnation_(incarnation)
    , clock_(clock)
    , limits_(limits)
    , budget_(limits.responses)
{
}

BeginResult AttemptTable::begin(AttemptId attempt, Incarnation incarnation, bool keepResponse)
{
    if (incarnation != incarnation_) {
        return BeginResult::OtherIncarnation;
    }
    if (const auto found = records_.find(attempt); found != records_.end()) {
        return found->second.outcome == AttemptOutcome::NotRun ? BeginResult::Fenced : BeginResult::AlreadyBegun;
    }
    const bool hasRoom = records_.size() - fenceCount_ < limits_.records;
    if (!hasRoom || (keepResponse && !budget_.reserve())) {
        return fence(attempt) ? BeginResult::Full : BeginResult::FullUnfenced;
    }
    records_.emplace(attempt, Record{.keepResponse = keepResponse, .response = nullptr});
    return BeginResult::Begun;
}

bool AttemptTable::complete(AttemptId attempt, StoredResponse response)
{
    Record *record = findRunning(attempt);
    if (record == nullptr) {
        return false;
    }
    settle(attempt, *record, AttemptOutcome::CompletedNotKept);
    if (record->keepResponse) {
        record->response = budget_.store(std::move(response));
    }
    if (record->response) {
        record->outcome = AttemptOutcome::Completed;
        responseExpiries_.push_back({clock_.now() + kResponseLifetime, attempt});
    }
    return true;
}

bool AttemptTable::markNotRun(AttemptId attempt)
{
    Record *record = findRunning(attempt);
    if (record == nullptr) {
        return false;
    }
    settle(attempt, *record, AttemptOutcome::NotRun);
    return true;
}

bool AttemptTable::markUnknown(AttemptId attempt)
{
    Record *record = findRunning(attempt);
    if (record == nullptr) {
        return false;
    }
    settle(attempt, *record, AttemptOutcome::Unknown);
    return true;
}

OutcomeReport AttemptTable::query(AttemptId attempt, Incarnation incarnation)
{
    if (incarnation != incarnation_) {
        return {AttemptOutcome::Unknown, nullptr};
    }
    if (const auto found = records_.find(attempt); found != records_.end()) {
        return {found->second.outcome, found->second.response};
    }
    return {fence(attempt) ? AttemptOutcome::NotRun : AttemptOutcome::Unknown, nullptr};
}

void AttemptTable::tick()
{
    clock_.tick();
    expireResponses();
    expire(expiries_);
    expire(repeatableExpiries_);
}

std::size_t AttemptTable::recordCount() const
{
    return records_.size();
}

std::size_t AttemptTable::responseBytes() const
{
    return budget_.usedBytes();
}

bool AttemptTable::fence(AttemptId attempt)
{
    if (fenceCount_ >= limits_.fences) {
        return false;
    }
    ++fenceCount_;
    // Kept for the full lifetime, as it is not known whether the attempt is repeatable.
    records_.emplace(
        attempt,
        Record{.outcome = AttemptOutcome::NotRun, .keepResponse = true, .fenceOnly = true, .response = nullptr});
    expiries_.push_back({clock_.now() + kLifetime, attempt});
    return true;
}

AttemptTable::Record *AttemptTable::findRunning(AttemptId attempt)
{
    const auto found = records_.find(attempt);
    if (found == records_.end() || found->second.outcome != AttemptOutcome::Running) {
        return nullptr;
    }
    return &found->second;
}

void AttemptTable::settle(AttemptId attempt, Record &record, AttemptOutcome outcome)
{
    record.outcome = outcome;
    if (record.keepResponse) {
        budget_.release();
        expiries_.push_back({clock_.now() + kLifetime, attempt});
    } else {
        repeatableExpiries_.push_back({clock_.now() + kRepeatableLifetime, attempt});
    }
}

void AttemptTable::expireResponses()
{
    while (!responseExpiries_.empty() && responseExpiries_.front().at <= clock_.now()) {
        Record &record = records_.at(responseExpiries_.front().attempt);
        responseExpiries_.pop_front();
        budget_.drop(*record.response);
        record.response.reset();
        record.outcome = AttemptOutcome::CompletedNotKept;
    }
}

void AttemptTable::expire(ExpiryQueue &queue)
{
    while (!queue.empty() && queue.front().at <= clock_.now()) {
        const auto found = records_.find(queue.front().attempt);
        queue.pop_front();
        if (found->second.fenceOnly) {
            --fenceCount_;
        }
        records_.erase(found);
    }
}

} // namespace Hibiscus
