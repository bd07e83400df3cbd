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

/** Longest summary inside the object. With 64 of them, 900 servers and 195 routes the object takes 257 KB; an agent
 * that reads it after each of 2,000 changes a day takes in 5.9 KB/s, of the 10 KB/s that a daemon may use. */
constexpr std::size_t kSummaryBytes = 2000;
/** Most changes that a conflict lists; `hibiscusctl history` shows more. */
constexpr std::size_t kListedConflicts = 64;
/** Time between two attempts to learn which change came first. */
constexpr Millis kRetryPause{500};

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

CommandResult baseNeeded(const Configuration &current, const std::vector<std::string> &changes)
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

CommandResult accepted(const Configuration &configuration)
{
    CommandResult result;
    result.lines = {"accepted: " + versionText(configuration.version)};
    result.details = {{"version", configuration.version.value()}, {"result", "accepted"}};
    if (!configuration.audit.empty()) {
        result.details["changeId"] = configuration.audit.back().changeId;
    }
    return result;
}

CommandResult unknownOutcome(const Configuration &next)
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

ApplyCommand::ApplyCommand(ObjectStore &store, const Waiting &waiting)
    : store_(store)
    , waiting_(waiting)
{
}

CommandResult ApplyCommand::run(const ApplyRequest &request)
{
    const TimePoint deadline = waiting_.clock.now() + request.timeout;
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
        waiting_.progress.report("no change: " + versionText(current.version) + " has this content");
        return accepted(current);
    }
    if (!request.base && loaded->has_value()) {
        return baseNeeded(current, changes);
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
    // Author and message are free text; a daemon must be able to read what is written.
    if (const auto readBack = parseConfiguration(text); !readBack) {
        return invalidFiles(readBack.error());
    }
    switch (ConfigurationStore(store_).write(next, deadline, waiting_)) {
    case WriteOutcome::Written:
        waiting_.progress.report(versionText(next.version) + " written as change " + request.changeId);
        return accepted(next);
    case WriteOutcome::Conflict:
        return reportConflict(current.version, deadline);
    case WriteOutcome::Unavailable:
        return failure(ExitCode::Unavailable, "the platform does not answer; nothing was written");
    case WriteOutcome::Unknown:
        break;
    }
    return unknownOutcome(next);
}

StoreResult<void> ApplyCommand::archiveBeforeWrite(Configuration &next)
{
    AuditLog log(store_);
    while (next.audit.size() > kMaximumAuditEntries) {
        // The agents copy entries as well, but may not have done so if changes came fast or while they were down.
        if (auto archived = log.archive(next.audit.front()); !archived) {
            return archived;
        }
        next.audit.erase(next.audit.begin());
    }
    AuditEntry &change = next.audit.back();
    if (change.summary.size() <= kSummaryBytes) {
        return {};
    }
    if (auto kept = log.keepFullSummary(change.changeId, change.summary); !kept) {
        return kept;
    }
    const std::size_t end = change.summary.rfind('\n', kSummaryBytes);
    change.summary.resize(end == std::string::npos ? kSummaryBytes : end);
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
            const auto entries = log.entriesAfter(current, base, kListedConflicts);
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
        if (waiting_.clock.now() >= deadline) {
            result.lines.emplace_back("the platform does not answer, so the other change can't be shown; see "
                                      "hibiscusctl history later");
            return result;
        }
        waiting_.pause.wait(kRetryPause);
    }
}

} // namespace Hibiscus
