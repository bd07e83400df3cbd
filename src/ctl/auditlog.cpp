#include "ctl/auditlog.h"

#include <array>
#include <ctime>
#include <sstream>

namespace Hibiscus
{

namespace
{

/** Attempts to create an object while the responses of the platform are lost. */
constexpr int kCreateAttempts = 5;

std::string auditKey(ConfigVersion version)
{
    return "audit/" + std::to_string(version.value());
}

std::string summaryKey(const std::string &changeId)
{
    return "change/" + changeId;
}

/** Formats a time as in "2026-12-04 05:06:07 UTC". */
std::string formatTime(std::int64_t unixMillis)
{
    constexpr std::int64_t kMillisPerSecond = 1000;
    constexpr std::size_t kTimeBytes = 64;
    const std::time_t seconds = unixMillis / kMillisPerSecond;
    std::tm parts{};
    std::array<char, kTimeBytes> text{};
    if (gmtime_r(&seconds, &parts) == nullptr
        || std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts) == 0) {
        return std::to_string(unixMillis) + " ms after 1970";
    }
    return text.data();
}

} // namespace

AuditLog::AuditLog(ObjectStore &store)
    : store_(store)
{
}

StoreResult<std::optional<AuditEntry>> AuditLog::archived(ConfigVersion version)
{
    const auto stored = store_.get(auditKey(version));
    if (!stored) {
        if (stored.error() == StoreError::NotFound) {
            return std::nullopt;
        }
        return tl::unexpected(stored.error());
    }
    auto entry = parseAuditEntry(stored->value, auditKey(version));
    if (!entry) {
        return std::nullopt;
    }
    return std::move(*entry);
}

StoreResult<void> AuditLog::createIfAbsent(const std::string &key, const std::string &value)
{
    StoreError error = StoreError::Unavailable;
    for (int attempt = 0; attempt < kCreateAttempts; ++attempt) {
        const auto created = store_.create(key, value);
        if (created || created.error() == StoreError::Conflict) {
            return {};
        }
        error = created.error();
        if (error != StoreError::Ambiguous) {
            break;
        }
    }
    return tl::unexpected(error);
}

StoreResult<void> AuditLog::archive(const AuditEntry &entry)
{
    return createIfAbsent(auditKey(entry.to), serializeAuditEntry(entry));
}

StoreResult<std::vector<AuditEntry>> AuditLog::entriesAfter(const Configuration &current, ConfigVersion after,
                                                            std::size_t limit)
{
    std::vector<AuditEntry> entries;
    std::uint64_t version = current.version.value();
    for (auto entry = current.audit.rbegin(); entry != current.audit.rend(); ++entry) {
        if (entry->to <= after || entries.size() == limit) {
            return entries;
        }
        entries.push_back(*entry);
        version = entry->from.value();
    }
    for (std::size_t examined = entries.size(); version > after.value() && examined < limit; --version, ++examined) {
        auto entry = archived(ConfigVersion(version));
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        if (entry->has_value()) {
            entries.push_back(std::move(**entry));
        }
    }
    return entries;
}

StoreResult<void> AuditLog::storeFullSummary(const std::string &changeId, const std::string &summary)
{
    return createIfAbsent(summaryKey(changeId), summary);
}

StoreResult<std::optional<std::string>> AuditLog::fullSummary(const std::string &changeId)
{
    auto stored = store_.get(summaryKey(changeId));
    if (stored) {
        return std::move(stored->value);
    }
    if (stored.error() == StoreError::NotFound) {
        return std::nullopt;
    }
    return tl::unexpected(stored.error());
}

std::vector<std::string> describeAuditEntry(const AuditEntry &entry)
{
    std::vector<std::string> lines{"version " + std::to_string(entry.from.value()) + " -> "
                                   + std::to_string(entry.to.value()) + "  " + formatTime(entry.unixMillis) + "  "
                                   + entry.author + "  change " + entry.changeId};
    std::istringstream summary(entry.summary);
    for (std::string line; std::getline(summary, line);) {
        lines.push_back("    " + line);
    }
    return lines;
}

nlohmann::json auditEntryDetails(const AuditEntry &entry)
{
    return {{"changeId", entry.changeId}, {"author", entry.author}, {"time", formatTime(entry.unixMillis)},
            {"from", entry.from.value()}, {"to", entry.to.value()}, {"summary", entry.summary}};
}

} // namespace Hibiscus
