#include "config/configuration.h"

#include <algorithm>

#include "config/inventoryjson.h"
#include "config/jsontext.h"
#include "config/objectreader.h"
#include "config/rulesjson.h"

#include <limits>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

constexpr const char *kObjectKey = "config";
constexpr std::int64_t kMaximumInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaximumAuthorBytes = 200;

json writeAuditEntry(const AuditEntry &entry)
{
    return {{"changeId", entry.changeId},     {"author", entry.author},     {"summary", entry.summary},
            {"unixMillis", entry.unixMillis}, {"from", entry.from.value()}, {"to", entry.to.value()}};
}

AuditEntry readAuditEntry(const json &value, const std::string &location, ErrorList &errors)
{
    ObjectReader reader(value, location, errors);
    AuditEntry entry;
    entry.changeId = reader.name("changeId");
    entry.author = reader.text("author", kMaximumAuthorBytes);
    entry.summary = reader.freeText("summary");
    entry.unixMillis = reader.integer("unixMillis", 0, kMaximumInteger);
    entry.from = ConfigVersion(static_cast<std::uint64_t>(reader.integer("from", 0, kMaximumInteger)));
    entry.to = ConfigVersion(static_cast<std::uint64_t>(reader.integer("to", 1, kMaximumInteger)));
    reader.finish();
    return entry;
}

/** JSON text of @p value. Replaces bytes that are not UTF-8, on which the JSON library would throw. */
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

bool isPredecessor(const Configuration &earlier, const Configuration &later)
{
    if (earlier.audit.empty()) {
        return true;
    }
    const std::string &lastChange = earlier.audit.back().changeId;
    return std::any_of(later.audit.begin(), later.audit.end(),
                       [&lastChange](const AuditEntry &entry) { return entry.changeId == lastChange; });
}

std::string serializeConfiguration(const Configuration &configuration)
{
    json audit = json::array();
    for (const AuditEntry &entry : configuration.audit) {
        audit.push_back(writeAuditEntry(entry));
    }
    return dump({{"version", configuration.version.value()},
                 {"inventory", writeInventory(configuration.inventory)},
                 {"rules", writeRules(configuration.rules)},
                 {"audit", audit}});
}

tl::expected<Configuration, std::vector<ConfigError>> parseConfiguration(std::string_view text)
{
    ErrorList errors(kObjectKey);
    const json value = parseJsonText(text, errors);
    if (value.is_null() && !errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    ObjectReader reader(value, "", errors);
    Configuration configuration;
    configuration.version = ConfigVersion(static_cast<std::uint64_t>(reader.integer("version", 1, kMaximumInteger)));
    if (reader.isObject()) {
        configuration.inventory = readInventory(reader.member("inventory"), "/inventory", errors);
        configuration.rules = readRules(reader.member("rules"), "/rules", configuration.inventory, errors);
    }
    reader.list("audit", true, [&](const json &entry, const std::string &location) {
        configuration.audit.push_back(readAuditEntry(entry, location, errors));
    });
    reader.finish();
    if (!errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    return configuration;
}

std::string serializeAuditEntry(const AuditEntry &entry)
{
    return dump(writeAuditEntry(entry));
}

tl::expected<AuditEntry, std::vector<ConfigError>> parseAuditEntry(std::string_view text, const std::string &file)
{
    ErrorList errors(file);
    const json value = parseJsonText(text, errors);
    if (value.is_null() && !errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    AuditEntry entry = readAuditEntry(value, "", errors);
    if (!errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    return entry;
}

} // namespace Hibiscus
