#ifndef HIBISCUS_DAEMON_CRASHREPORTCODEC_H
#define HIBISCUS_DAEMON_CRASHREPORTCODEC_H

#include "membership/memberrecord.h"
#include "quarantine/crashreport.h"

#include <optional>

namespace Hibiscus
{

/** Table name of crash reports among the payload entries. */
inline constexpr const char *kCrashTable = "crash";

/**
 * Entry for a crash report as @p publisher knows it at @p revision of its ledger. The key names the publisher, so that
 * what two processes learned about one report does not overwrite each other.
 */
PayloadEntry encodeCrashReport(const CrashReport &report, Incarnation publisher, std::uint64_t revision);

/** Report of an entry; empty if it can't be read. */
std::optional<CrashReport> decodeCrashReport(const PayloadEntry &entry);

} // namespace Hibiscus

#endif
