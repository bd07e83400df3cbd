#include "ctl/configurationstore.h"

#include "ctl/auditlog.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

const std::string kKey = "config/deployment";
/** Time between two attempts of a write whose response was lost. */
constexpr Millis kRetryInterval{200};

} // namespace

ConfigurationStore::ConfigurationStore(ObjectStore &store)
    : store_(store)
{
}

tl::expected<std::optional<Configuration>, CommandResult> ConfigurationStore::load()
{
    const auto stored = store_.get(kKey);
    if (!stored) {
        if (stored.error() == StoreError::NotFound) {
            return std::nullopt;
        }
        return tl::unexpected(failure(ExitCode::Unavailable, "the platform does not answer"));
    }
    auto configuration = parseConfiguration(stored->value);
    if (!configuration) {
        return tl::unexpected(invalidFiles(configuration.error()));
    }
    configuration->version = ConfigVersion(stored->version);
    return std::move(*configuration);
}

std::optional<bool> ConfigurationStore::contains(const AuditEntry &change)
{
    const auto current = load();
    if (!current) {
        return {};
    }
    if (current->has_value()) {
        const std::vector<AuditEntry> &audit = (*current)->audit;
        const auto same = [&change](const AuditEntry &entry) { return entry.changeId == change.changeId; };
        if (std::any_of(audit.begin(), audit.end(), same)) {
            return true;
        }
    }
    // The entry is archived if more changes have followed than the object keeps.
    const auto archived = AuditLog(store_).archived(change.to);
    if (!archived) {
        return {};
    }
    return archived->has_value() && (*archived)->changeId == change.changeId;
}

WriteOutcome ConfigurationStore::write(const Configuration &next, TimePoint deadline, const WaitContext &waitContext)
{
    const std::string text = serializeConfiguration(next);
    const std::uint64_t expected = next.version.value() - 1;
    bool mayBeWritten = false;
    while (true) {
        const auto written = expected == 0 ? store_.create(kKey, text) : store_.update(kKey, text, expected);
        if (written) {
            return WriteOutcome::Written;
        }
        const bool refused = written.error() == StoreError::Conflict || written.error() == StoreError::NotFound;
        if (refused && !mayBeWritten) {
            return WriteOutcome::Conflict;
        }
        if (refused) {
            const auto found = contains(next.audit.back());
            if (found) {
                return *found ? WriteOutcome::Written : WriteOutcome::Conflict;
            }
        } else if (written.error() == StoreError::Ambiguous) {
            mayBeWritten = true;
        } else if (!mayBeWritten) {
            return WriteOutcome::Unavailable;
        }
        if (waitContext.clock.now() >= deadline) {
            return WriteOutcome::Unknown;
        }
        waitContext.progress.report("the platform's answer was lost; asking again");
        waitContext.sleeper.sleep(kRetryInterval);
    }
}

} // namespace Hibiscus
