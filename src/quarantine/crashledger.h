#ifndef HIBISCUS_QUARANTINE_CRASHLEDGER_H
#define HIBISCUS_QUARANTINE_CRASHLEDGER_H

#include "core/clock.h"
#include "core/ids.h"
#include "quarantine/crashreport.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/** How a request of a signature may run. */
enum class SignatureStatus {
    Clear, ///< Without restriction.
    Suspect, ///< One at a time per server; see SuspectSlot.
    Quarantined, ///< Not at all.
};

/** Bounds of the memory of a ledger. */
struct CrashLimits {
    std::size_t entries = 8'192; ///< Signatures summed over all reports.
    std::size_t signaturesPerReport = 512; ///< Above the slots of any backend server.
    std::size_t reporters = 2'048; ///< Processes for which the highest expired sequence number is kept.
};

/**
 * Which signatures crash backend servers, as far as this process knows.
 *
 * The state is a set of (report, signature) entries, each of them charged or cleared. Merging unites the sets, and
 * cleared wins over charged, so the result does not depend on the order, the path or the number of deliveries. A
 * completion clears the entries that this process knows of; a crash that it does not know of yet still counts.
 *
 * Reports expire 30 min after the crash. The highest expired sequence number of each reporter is kept as a watermark,
 * and reports up to it are not accepted again, so that a late copy can't restore an entry that was cleared and
 * discarded. When the memory bound is reached, the oldest report expires early.
 *
 * The clock is a plain monotonic one, which advances during pauses, so that a process that was paused does not keep its
 * reports longer than others do.
 */
class CrashLedger
{
public:
    /**
     * Crashes without a completion that make a signature a suspect. The first crash charges all signatures in flight,
     * nearly all of which did not cause it; the second one leaves those that were in flight both times.
     */
    static constexpr std::size_t kCrashesToSuspect = 2;
    /** Crashes without a completion that quarantine a signature. */
    static constexpr std::size_t kCrashesToQuarantine = 3;
    /** Duration, from the latest crash. Afterwards the signature is a suspect, and one more crash quarantines it. */
    static constexpr Millis kQuarantine{10.0 * 60 * 1000};
    /** Three times the quarantine, so that a signature is still known if its request is sent again afterwards. */
    static constexpr Millis kReportLifetime{30.0 * 60 * 1000};

    /** @p clock must outlive this object. */
    explicit CrashLedger(const Clock &clock, const CrashLimits &limits = {});

    /** How a request of @p signature may run now. */
    SignatureStatus check(Signature signature) const;

    /**
     * Charges one crash to each signature that was in flight. The sequence number of @p report must be above those of
     * the earlier reports of this process. Signatures beyond CrashLimits::signaturesPerReport are left out.
     */
    void recordCrash(const std::vector<Signature> &inFlight, CrashReportId report);

    /** Clears a signature after a completion; true if it was charged, in which case the change is to be exported. */
    bool recordCompletion(Signature signature);

    /** Merges reports of another process; true if the ledger changed. */
    bool merge(const std::vector<CrashReport> &reports);

    /** Does the same as merge(); true if the reports contain a crash that this process didn't know and must forward. */
    bool mergeReceived(const std::vector<CrashReport> &reports);

    /** Changes after @p revision (0: all unexpired ones), the oldest first, at most @p maxEntries signatures. */
    CrashDifference exportReports(std::uint64_t revision, std::size_t maxEntries = 256) const;

    /** The latest changes, at most @p maxEntries signatures. */
    std::vector<CrashReport> exportLatest(std::size_t maxEntries = 1024) const;

    /** Discards expired reports. Call it every few seconds. */
    void tick();

    /** Quarantined signatures, in ascending order. */
    std::vector<Signature> quarantined() const;
    /** Signatures summed over all reports. */
    std::size_t entryCount() const;

private:
    struct Entry {
        Signature signature;
        bool cleared;
        std::uint64_t revision; ///< Revision of the last change.
    };

    struct Report {
        TimePoint crashedAt;
        std::vector<Entry> entries;
    };

    using Reports = std::map<CrashReportId, Report>;

    static std::vector<Entry>::const_iterator findEntry(const Report &report, Signature signature);
    bool isExpired(const Report &report) const;
    bool isDiscarded(CrashReportId id) const;
    bool apply(CrashReportId id, TimePoint crashedAt, const std::vector<Signature> &signatures, bool cleared);
    bool correctCrashTime(Report &report, TimePoint crashedAt);
    bool applyEntry(CrashReportId id, Report &report, Signature signature, bool cleared);
    void discardUpTo(CrashReportId id);
    void raiseWatermark(CrashReportId id);
    Reports::iterator remove(Reports::iterator report);
    void enforceLimit();

    const Clock &clock_;
    CrashLimits limits_;
    Reports reports_;
    std::unordered_map<Signature, std::vector<CrashReportId>> reportsOf_; ///< Reports that name a signature.
    std::unordered_map<Incarnation, std::uint64_t> watermarks_; ///< Highest expired sequence of each reporter.
    std::deque<Incarnation> watermarkOrder_; ///< Keys of watermarks_, oldest first.
    std::size_t entryCount_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace Hibiscus

#endif
