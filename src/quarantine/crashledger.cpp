#include "quarantine/crashledger.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Hibiscus
{

namespace
{

// Smaller corrections of the time of a crash are not exported, since ordinary transit times would cause them.
constexpr Millis kAgeTolerance{1000};

} // namespace

CrashLedger::CrashLedger(const Clock &clock, const CrashLimits &limits)
    : clock_(clock)
    , limits_(limits)
{
}

SignatureStatus CrashLedger::check(Signature signature) const
{
    const auto found = reportsOf_.find(signature);
    if (found == reportsOf_.end()) {
        return SignatureStatus::Clear;
    }

    std::size_t crashes = 0;
    TimePoint latest{std::numeric_limits<double>::lowest()};
    for (const CrashReportId &id : found->second) {
        const Report &report = reports_.at(id);
        if (!isExpired(report) && !findEntry(report, signature)->cleared) {
            ++crashes;
            latest = std::max(latest, report.crashedAt);
        }
    }
    if (crashes >= kCrashesToQuarantine && clock_.now() - latest < kQuarantine) {
        return SignatureStatus::Quarantined;
    }
    return crashes >= kCrashesToSuspect ? SignatureStatus::Suspect : SignatureStatus::Clear;
}

void CrashLedger::recordCrash(const std::vector<Signature> &inFlight, CrashReportId report)
{
    apply(report, clock_.now(), inFlight, false);
    enforceLimit();
}

bool CrashLedger::recordCompletion(Signature signature)
{
    const auto found = reportsOf_.find(signature);
    if (found == reportsOf_.end()) {
        return false;
    }
    bool changed = false;
    for (const CrashReportId &id : found->second) {
        changed = applyEntry(id, reports_.at(id), signature, true) || changed;
    }
    return changed;
}

bool CrashLedger::merge(const std::vector<CrashReport> &reports)
{
    bool changed = false;
    for (const CrashReport &report : reports) {
        const TimePoint crashedAt = clock_.now() - std::max(report.age, Millis{0});
        changed = apply(report.id, crashedAt, report.charged, false) || changed;
        changed = apply(report.id, crashedAt, report.cleared, true) || changed;
    }
    enforceLimit();
    return changed;
}

bool CrashLedger::mergeReceived(const std::vector<CrashReport> &reports)
{
    const bool hasUnknownCrash = std::any_of(reports.begin(), reports.end(), [this](const CrashReport &report) {
        return !report.charged.empty() && !reports_.contains(report.id) && !isDiscarded(report.id)
            && report.age < kReportLifetime;
    });
    merge(reports);
    return hasUnknownCrash;
}

std::vector<CrashReport> CrashLedger::exportLatest(std::size_t maxEntries) const
{
    // Each change has its own revision, so at most maxEntries changes follow this one.
    return exportReports(revision_ > maxEntries ? revision_ - maxEntries : 0, maxEntries).reports;
}

CrashDifference CrashLedger::exportReports(std::uint64_t revision, std::size_t maxEntries) const
{
    // A revision ahead of this ledger comes from an earlier run of this process.
    const std::uint64_t after = revision > revision_ ? 0 : revision;
    std::vector<std::uint64_t> changes;
    for (const auto &[id, report] : reports_) {
        for (const Entry &entry : report.entries) {
            if (entry.revision > after && !isExpired(report)) {
                changes.push_back(entry.revision);
            }
        }
    }

    CrashDifference difference{.reports = {}, .revision = revision_, .complete = changes.size() <= maxEntries};
    if (!difference.complete) {
        std::sort(changes.begin(), changes.end());
        difference.revision = maxEntries == 0 ? after : changes.at(maxEntries - 1);
    }
    for (const auto &[id, report] : reports_) {
        CrashReport changed{.id = id, .age = clock_.now() - report.crashedAt, .charged = {}, .cleared = {}};
        for (const Entry &entry : report.entries) {
            if (entry.revision > after && entry.revision <= difference.revision && !isExpired(report)) {
                (entry.cleared ? changed.cleared : changed.charged).push_back(entry.signature);
            }
        }
        if (!changed.charged.empty() || !changed.cleared.empty()) {
            difference.reports.push_back(std::move(changed));
        }
    }
    return difference;
}

void CrashLedger::tick()
{
    std::vector<CrashReportId> expired;
    for (const auto &[id, report] : reports_) {
        if (isExpired(report)) {
            expired.push_back(id);
        }
    }
    for (const CrashReportId &id : expired) {
        discardUpTo(id);
    }
}

std::vector<Signature> CrashLedger::quarantined() const
{
    std::vector<Signature> signatures;
    for (const auto &[signature, ids] : reportsOf_) {
        if (ids.size() >= kCrashesToQuarantine && check(signature) == SignatureStatus::Quarantined) {
            signatures.push_back(signature);
        }
    }
    std::sort(signatures.begin(), signatures.end());
    return signatures;
}

std::size_t CrashLedger::entryCount() const
{
    return entryCount_;
}

std::vector<CrashLedger::Entry>::const_iterator CrashLedger::findEntry(const Report &report, Signature signature)
{
    return std::lower_bound(report.entries.begin(), report.entries.end(), signature,
                            [](const Entry &entry, const Signature &wanted) { return entry.signature < wanted; });
}

bool CrashLedger::isExpired(const Report &report) const
{
    return clock_.now() - report.crashedAt >= kReportLifetime;
}

bool CrashLedger::isDiscarded(CrashReportId id) const
{
    const auto watermark = watermarks_.find(id.reporter);
    return watermark != watermarks_.end() && id.sequence <= watermark->second;
}

bool CrashLedger::apply(CrashReportId id, TimePoint crashedAt, const std::vector<Signature> &signatures, bool cleared)
{
    if (signatures.empty() || isDiscarded(id) || clock_.now() - crashedAt >= kReportLifetime) {
        return false;
    }
    Report &report = reports_.try_emplace(id, Report{crashedAt, {}}).first->second;
    bool changed = correctCrashTime(report, crashedAt);
    for (const Signature &signature : signatures) {
        changed = applyEntry(id, report, signature, cleared) || changed;
    }
    return changed;
}

bool CrashLedger::correctCrashTime(Report &report, TimePoint crashedAt)
{
    // Each hop adds its transit time to the apparent time of the crash, so the earliest copy is the most accurate.
    const Millis correction = report.crashedAt - crashedAt;
    report.crashedAt = std::min(report.crashedAt, crashedAt);
    if (correction < kAgeTolerance) {
        return false;
    }
    for (Entry &entry : report.entries) {
        entry.revision = ++revision_;
    }
    return true;
}

bool CrashLedger::applyEntry(CrashReportId id, Report &report, Signature signature, bool cleared)
{
    const auto position = report.entries.begin() + (findEntry(report, signature) - report.entries.cbegin());
    if (position == report.entries.end() || position->signature != signature) {
        if (report.entries.size() >= limits_.signaturesPerReport) {
            return false;
        }
        report.entries.insert(position, {signature, cleared, ++revision_});
        reportsOf_[signature].push_back(id);
        ++entryCount_;
        return true;
    }
    if (!cleared || position->cleared) {
        return false;
    }
    position->cleared = true;
    position->revision = ++revision_;
    return true;
}

void CrashLedger::discardUpTo(CrashReportId id)
{
    raiseWatermark(id);
    auto report = reports_.lower_bound({id.reporter, 0});
    while (report != reports_.end() && report->first <= id) {
        report = remove(report);
    }
}

void CrashLedger::raiseWatermark(CrashReportId id)
{
    const auto [watermark, isNew] = watermarks_.try_emplace(id.reporter, id.sequence);
    watermark->second = std::max(watermark->second, id.sequence);
    if (!isNew) {
        return;
    }
    watermarkOrder_.push_back(id.reporter);
    if (watermarkOrder_.size() > limits_.reporters) {
        watermarks_.erase(watermarkOrder_.front());
        watermarkOrder_.pop_front();
    }
}

CrashLedger::Reports::iterator CrashLedger::remove(Reports::iterator report)
{
    for (const Entry &entry : report->second.entries) {
        const auto ids = reportsOf_.find(entry.signature);
        std::erase(ids->second, report->first);
        if (ids->second.empty()) {
            reportsOf_.erase(ids);
        }
    }
    entryCount_ -= report->second.entries.size();
    return reports_.erase(report);
}

void CrashLedger::enforceLimit()
{
    while (entryCount_ > limits_.entries) {
        const auto oldest = std::min_element(reports_.begin(), reports_.end(), [](const auto &a, const auto &b) {
            return std::tie(a.second.crashedAt, a.first) < std::tie(b.second.crashedAt, b.first);
        });
        discardUpTo(oldest->first);
    }
}

} // namespace Hibiscus
