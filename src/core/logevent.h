#ifndef HIBISCUS_CORE_LOGEVENT_H
#define HIBISCUS_CORE_LOGEVENT_H

#include "core/logfield.h"

#include <initializer_list>
#include <span>
#include <string_view>

namespace Hibiscus
{

/** Numbered log events. A number is never reused; docs/log-events.md is the catalogue. */
enum class LogEvent {
    DaemonStarted = 1001,
    DaemonDraining = 1002,
    DaemonStopped = 1003,
    ListenerFailed = 1004,
    DaemonSuperseded = 1006,
    MessageFailed = 1007,
    ServerUnhealthy = 2001,
    ServerHealthy = 2002,
    ServerCrashed = 2003,
    SignatureQuarantined = 2004,
    ServerLimitChanged = 2005,
    ServerNoticeRejected = 2006,
    ServerShareFull = 2007,
    ServerFirstRequests = 2008,
    AdmissionLevelChanged = 2101,
    AttemptOutcomeUnknown = 2201,
    ConnectionSilent = 2202,
    RequestRefused = 2211,
    RequestRetried = 2212,
    RequestFailed = 2213,
    AttemptRefused = 2214,
    AttemptFailed = 2215,
    RequestCancelled = 2216,
    CallerRefused = 2217,
    ClientCutOff = 2301,
    ConfigurationAdopted = 3101,
    ConfigurationRejected = 3103,
    ConfigurationKept = 3104,
    PlatformUnavailable = 3201,
    PlatformAvailable = 3202,
    ServerChanged = 3203,
    StoreEraChanged = 3204,
    CheckInRejected = 3301,
    RegistrationRejected = 3302,
    RegistrationKept = 3303,
    StoreEntryUnreadable = 3304,
    AllotmentLenderSilent = 3401,
    AllotmentLenderBack = 3402,
    AllotmentLenderChanged = 3403,
};

enum class Severity {
    Info,
    Warning,
    Error,
};

struct LogEventInfo {
    LogEvent event;
    std::string_view name;
    Severity severity;
    bool isRateLimited = false; ///< Set for events that each request may cause.
};

/** All log events, in the order of their numbers. */
std::span<const LogEventInfo> logEvents();

/**
 * Writes one line of JSON with the number, the name and the severity of the event, @p detail and @p fields. Lines of a
 * rate-limited event beyond its rate are suppressed and counted in the next line.
 */
void logEvent(LogEvent event, std::string_view detail, std::initializer_list<LogField> fields = {});

} // namespace Hibiscus

#endif
