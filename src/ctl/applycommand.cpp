#include "ctl/applycommand.h"

#include "config/configurationdifference.h"
#include "config/jsontext.h"
#include "ctl/auditlog.h"
#include "ctl/configurationstore.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

/** Longest summary that the configuration object contains. With 64 summaries of this length, 900 servers and 195 routes
 * the object has 257 KB; an agent that reads it after each of 2,000 changes a day receives 5.9 KB/s of the 10 KB/s that
 * a daemon may use. */
constexpr std::size_t kMaximumSummaryBytes = 2000;
/** Number of changes that a conflict lists at most; `hibiscusctl history` shows more. */
constexpr std::size_t kMaximumListedConflicts = 64;
/** Time between two attempts to read the changes that caused a conflict. */
constexpr Millis kRetryInterval{500};

std::string versionText(ConfigVersion version)
{
    return "version " + std::to_string(version.value());
}

std::string summarize(const std::string &message, const std::vector<std::string> &changes)
{
    std::string text = message;
    for (const std::string &line : changes) {
        text += (text.empty() ? "" : "\n") + line;
    }
    return text;
}

Configuration nextConfiguration(const ApplyRequest &request, const Configuration &current,
                                const std::vector<std::string> &changes)
{
    Configuration next;
    next.version = ConfigVersion(current.version.value() + 1);
    next.inventory = request.files.inventory;
    next.rules = request.files.rules;
    next.audit = current.audit;
    next.audit.push_back({request.changeId, request.author, summarize(request.message, changes), request.unixMillis,
                          current.version, next.version});
    return next;
}

CommandResult baseNeededResult(const Configuration &current, const std::vector<std::string> &changes)
{
    CommandResult result;
    result.code = ExitCode::Usage;
    result.lines = changes;
    result.lines.push_back("the above changes " + versionText(current.version)
                           + "; nothing was written. If that is what you want, run again with --base "
                           + std::to_string(current.version.value()));
    result.details = {{"changes", changes}, {"base", current.version.value()}, {"result", "base-needed"}};
    return result;
}

CommandResult acceptedResult(const Configuration &configuration)
{
    CommandResult result;
    result.lines = {"accepted: " + versionText(configuration.version)};
    result.details = {{"version", configuration.version.value()}, {"result", "accepted"}};
    if (!configuration.audit.empty()) {
        result.details["changeId"] = configuration.audit.back().changeId;
    }
    return result;
}

CommandResult unknownOutcomeResult(const Configuration &next)
{
    const AuditEntry &change = next.audit.back();
    CommandResult result = failure(ExitCode::Unknown,
                                   "the platform's answers were lost: it is not known whether change " + change.changeId
                                       + " was written. When the platform answers again, run the same command once "
                                         "more: it writes the change only "
                                         "if it is not there");
    result.details["result"] = "unknown";
    result.details["changeId"] = change.changeId;
    return result;
}

} // namespace

ApplyCommand::ApplyCommand(ObjectStore &store, const WaitContext &waitContext)
    : store_(store)
    , waitContext_(waitContext)
{
}

CommandResult ApplyCommand::run(const ApplyRequest &request)
{
    const TimePoint deadline = waitContext_.clock.now() + request.timeout;
    const auto loaded = ConfigurationStore(store_).load();
    if (!loaded) {
        CommandResult result = loaded.error();
        result.lines.emplace_back("nothing was written");
        return result;
    }
    const Configuration current = loaded->value_or(Configuration{});
    const std::vector<std::string> changes =
        describeDifference(current.inventory, current.rules, request.files.inventory, request.files.rules);
    if (changes.empty()) {
        waitContext_.progress.report("no change: " + versionText(current.version) + " has this content");
        return acceptedResult(current);
    }
    if (!request.base && loaded->has_value()) {
        return baseNeededResult(current, changes);
    }
    if (request.base && *request.base > current.version) {
        return failure(ExitCode::Usage,
                       "the platform holds " + versionText(current.version) + "; there is no "
                           + versionText(*request.base) + " yet; nothing was written");
    }
    if (request.base && *request.base != current.version) {
        return reportConflict(*request.base, deadline);
    }
    return write(request, current, changes, deadline);
}

CommandResult ApplyCommand::write(const ApplyRequest &request, const Configuration &current,
                                  const std::vector<std::string> &changes, TimePoint deadline)
{
    Configuration next = nextConfiguration(request, current, changes);
    if (!archiveBeforeWrite(next)) {
        return failure(ExitCode::Unavailable, "the platform does not answer; the configuration was not written");
    }
    const std::string text = serializeConfiguration(next);
    if (text.size() > kMaximumTextBytes) {
        return failure(ExitCode::Invalid,
                       "the configuration takes " + std::to_string(text.size()) + " bytes, more than the "
                           + std::to_string(kMaximumTextBytes) + " that fit into one object of the platform");
    }
    // Author and message are free text; checks that daemons can parse the object before it is written.
    if (const auto readBack = parseConfiguration(text); !readBack) {
        return invalidFiles(readBack.error());
    }
    switch (ConfigurationStore(store_).write(next, deadline, waitContext_)) {
    case WriteOutcome::Written:
        waitContext_.progress.report(versionText(next.version) + " written as change " + request.changeId);
        return acceptedResult(next);
    case WriteOutcome::Conflict:
        return reportConflict(current.version, deadline);
    case WriteOutcome::Unavailable:
        return failure(ExitCode::Unavailable, "the platform does not answer; nothing was written");
    case WriteOutcome::Unknown:
        break;
    }
    return unknownOutcomeResult(next);
}

StoreResult<void> ApplyCommand::archiveBeforeWrite(Configuration &next)
{
    AuditLog log(store_);
    while (next.audit.size() > kMaximumAuditEntries) {
        // The agents archive entries as well, but may not have done so after rapid changes or while they were down.
        if (auto archived = log.archive(next.audit.front()); !archived) {
            return archived;
        }
        next.audit.erase(next.audit.begin());
    }
    AuditEntry &change = next.audit.back();
    if (change.summary.size() <= kMaximumSummaryBytes) {
        return {};
    }
    if (auto stored = log.storeFullSummary(change.changeId, change.summary); !stored) {
        return stored;
    }
    const std::size_t end = change.summary.rfind('\n', kMaximumSummaryBytes);
    change.summary.resize(end == std::string::npos ? kMaximumSummaryBytes : end);
    change.summary += "\n... (see hibiscusctl history --change " + change.changeId + ")";
    return {};
}

CommandResult ApplyCommand::reportConflict(ConfigVersion base, TimePoint deadline)
{
    CommandResult result;
    result.code = ExitCode::Conflict;
    result.lines = {"conflict: the configuration has changed since " + versionText(base) + "; nothing was written"};
    result.details = {{"result", "conflict"}, {"base", base.value()}, {"conflictingChanges", json::array()}};
    AuditLog log(store_);
    while (true) {
        const auto loaded = ConfigurationStore(store_).load();
        if (loaded) {
            const Configuration current = loaded->value_or(Configuration{});
            const auto entries = log.entriesAfter(current, base, kMaximumListedConflicts);
            if (entries) {
                for (const AuditEntry &entry : *entries) {
                    const std::vector<std::string> lines = describeAuditEntry(entry);
                    result.lines.insert(result.lines.end(), lines.begin(), lines.end());
                    result.details["conflictingChanges"].push_back(auditEntryDetails(entry));
                }
                result.lines.push_back("it is now " + versionText(current.version)
                                       + ": bring its changes into your files, see the rest with hibiscusctl diff, and "
                                         "apply with --base "
                                       + std::to_string(current.version.value()));
                result.details["version"] = current.version.value();
                return result;
            }
        }
        if (waitContext_.clock.now() >= deadline) {
            result.lines.emplace_back("the platform does not answer, so the other change can't be shown; see "
                                      "hibiscusctl history later");
            return result;
        }
        waitContext_.sleeper.sleep(kRetryInterval);
    }
}

} // namespace Hibiscus
