#ifndef HIBISCUS_QUARANTINE_CRASHREPORT_H
#define HIBISCUS_QUARANTINE_CRASHREPORT_H

#include "core/ids.h"
#include "core/millis.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace Hibiscus
{

/** Unique id of a crash report. */
struct CrashReportId {
    Incarnation reporter; ///< Process that detected the crash.
    std::uint64_t sequence = 0; ///< Ascending number of the crash among those that the process detected.

    friend auto operator<=>(const CrashReportId &, const CrashReportId &) = default;
};

/** One crash of a backend server, as daemons exchange it. */
struct CrashReport {
    CrashReportId id;
    Millis age; ///< Time since the crash when the report was exported; relative, as clocks are not synchronized.
    std::vector<Signature> charged; ///< Signatures in flight that have not been cleared.
    std::vector<Signature> cleared; ///< Signatures in flight that have completed on some server afterwards.

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/** Changes of a ledger since a revision. */
struct CrashDifference {
    std::vector<CrashReport> reports;
    /** Argument of the next export for the same receiver; 0 after the exporting or receiving process restarted. */
    std::uint64_t revision = 0;
    bool complete = true; ///< False if the size limit left changes for the next export.
};

} // namespace Hibiscus

#endif
