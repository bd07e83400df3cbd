#include "core/logevent.h"

#include "core/jsondocument.h"
#include "core/logratelimiter.h"
#include "core/steadyclock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

constexpr auto kEvents = std::to_array<LogEventInfo>({
    {LogEvent::DaemonStarted, "daemon-started", Severity::Info},
    {LogEvent::DaemonDraining, "daemon-draining", Severity::Info},
    {LogEvent::DaemonStopped, "daemon-stopped", Severity::Info},
    {LogEvent::ListenerFailed, "listener-failed", Severity::Error},
    {LogEvent::DaemonSuperseded, "daemon-superseded", Severity::Error},
    {LogEvent::MessageFailed, "message-failed", Severity::Error, true},
    {LogEvent::ServerUnhealthy, "server-unhealthy", Severity::Warning},
    {LogEvent::ServerHealthy, "server-healthy", Severity::Info},
    {LogEvent::ServerCrashed, "server-crashed", Severity::Error},
    {LogEvent::SignatureQuarantined, "signature-quarantined", Severity::Error},
    {LogEvent::ServerLimitChanged, "server-limit-changed", Severity::Info, true},
    {LogEvent::ServerNoticeRejected, "server-notice-rejected", Severity::Warning, true},
    {LogEvent::ServerShareFull, "server-share-full", Severity::Info},
    {LogEvent::ServerFirstRequests, "server-first-requests", Severity::Info},
    {LogEvent::AdmissionLevelChanged, "admission-level-changed", Severity::Info},
    {LogEvent::AttemptOutcomeUnknown, "attempt-outcome-unknown", Severity::Warning, true},
    {LogEvent::ConnectionSilent, "connection-silent", Severity::Warning, true},
    {LogEvent::RequestRefused, "request-refused", Severity::Info, true},
    {LogEvent::RequestRetried, "request-retried", Severity::Info, true},
    {LogEvent::RequestFailed, "request-failed", Severity::Warning, true},
    {LogEvent::AttemptRefused, "attempt-refused", Severity::Info, true},
    {LogEvent::AttemptFailed, "attempt-failed", Severity::Warning, true},
    {LogEvent::RequestCancelled, "request-cancelled", Severity::Info, true},
    {LogEvent::CallerRefused, "caller-refused", Severity::Info, true},
    {LogEvent::ClientCutOff, "client-cut-off", Severity::Warning, true},
    {LogEvent::ConfigurationAdopted, "configuration-adopted", Severity::Info},
    {LogEvent::ConfigurationRejected, "configuration-rejected", Severity::Error},
    {LogEvent::ConfigurationKept, "configuration-kept", Severity::Info, true},
    {LogEvent::PlatformUnavailable, "platform-unavailable", Severity::Warning},
    {LogEvent::PlatformAvailable, "platform-available", Severity::Info},
    {LogEvent::ServerChanged, "server-changed", Severity::Info},
    {LogEvent::StoreEraChanged, "store-era-changed", Severity::Warning},
    {LogEvent::CheckInRejected, "check-in-rejected", Severity::Warning, true},
    {LogEvent::RegistrationRejected, "registration-rejected", Severity::Warning, true},
    {LogEvent::RegistrationKept, "registration-kept", Severity::Info, true},
    {LogEvent::StoreEntryUnreadable, "store-entry-unreadable", Severity::Warning, true},
    {LogEvent::AllotmentLenderSilent, "allotment-lender-silent", Severity::Warning, true},
    {LogEvent::AllotmentLenderBack, "allotment-lender-back", Severity::Info, true},
    {LogEvent::AllotmentLenderChanged, "allotment-lender-changed", Severity::Info, true},
});

std::string_view severityName(Severity severity)
{
    static constexpr std::array<std::string_view, 3> kNames{"info", "warning", "error"};
    return kNames.at(static_cast<std::size_t>(severity));
}

/** Lines suppressed since the last one of the event at @p index; empty if this one must be suppressed as well. */
std::optional<std::uint64_t> admit(std::size_t index)
{
    static std::mutex mutex;
    static std::array<LogRateLimiter, kEvents.size()> limiters;
    static const SteadyClock clock;
    const std::lock_guard lock(mutex);
    return limiters.at(index).admit(clock.now());
}

std::string formatLine(const LogEventInfo &info, std::string_view detail, std::initializer_list<LogField> fields,
                       std::uint64_t suppressed)
{
    nlohmann::ordered_json line;
    line["timeMs"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    line["event"] = static_cast<int>(info.event);
    line["name"] = info.name;
    line["severity"] = severityName(info.severity);
    if (!detail.empty()) {
        line["detail"] = detail;
    }
    for (const LogField &field : fields) {
        std::visit([&](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    if (suppressed > 0) {
        line["leftOutBefore"] = suppressed;
    }
    // Details and field values may come from other processes and need not be valid UTF-8.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::span<const LogEventInfo> logEvents()
{
    return kEvents;
}

void logEvent(LogEvent event, std::string_view detail, std::initializer_list<LogField> fields)
{
    const auto info = std::find_if(kEvents.begin(), kEvents.end(),
                                   [event](const LogEventInfo &candidate) { return candidate.event == event; });
    std::uint64_t suppressed = 0;
    if (info->isRateLimited) {
        const auto admitted = admit(static_cast<std::size_t>(info - kEvents.begin()));
        if (!admitted) {
            return;
        }
        suppressed = *admitted;
    }
    const std::string line = formatLine(*info, detail, fields, suppressed);
    switch (info->severity) {
    case Severity::Info:
        LOG(INFO) << line;
        return;
    case Severity::Warning:
        LOG(WARNING) << line;
        return;
    case Severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace Hibiscus
