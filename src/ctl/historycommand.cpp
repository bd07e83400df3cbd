#include "ctl/historycommand.h"

#include "ctl/auditlog.h"
#include "ctl/configurationstore.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr const char *kPlatformUnavailable = "the platform does not answer";

} // namespace

HistoryCommand::HistoryCommand(ObjectStore &store)
    : store_(store)
{
}

CommandResult HistoryCommand::run(const HistoryRequest &request)
{
    const auto loaded = ConfigurationStore(store_).load();
    if (!loaded) {
        return loaded.error();
    }
    AuditLog log(store_);
    const Configuration current = loaded->value_or(Configuration{});
    auto entries = log.entriesAfter(current, ConfigVersion(0), request.limit);
    if (!entries) {
        return failure(ExitCode::Unavailable, kPlatformUnavailable);
    }
    if (!request.changeId.empty()) {
        std::erase_if(*entries, [&](const AuditEntry &entry) { return entry.changeId != request.changeId; });
        if (entries->empty()) {
            return failure(ExitCode::Invalid,
                           "no change " + request.changeId + " among the last " + std::to_string(request.limit));
        }
        const auto fullSummary = log.fullSummary(request.changeId);
        if (!fullSummary) {
            return failure(ExitCode::Unavailable, kPlatformUnavailable);
        }
        entries->front().summary = fullSummary->value_or(entries->front().summary);
    }
    CommandResult result;
    result.details = {{"version", current.version.value()}, {"changes", nlohmann::json::array()}};
    for (const AuditEntry &entry : *entries) {
        const std::vector<std::string> lines = describeAuditEntry(entry);
        result.lines.insert(result.lines.end(), lines.begin(), lines.end());
        result.details["changes"].push_back(auditEntryDetails(entry));
    }
    if (entries->empty()) {
        result.lines = {"no changes"};
    }
    return result;
}

} // namespace Hibiscus
