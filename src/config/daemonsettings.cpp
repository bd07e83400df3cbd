#include "config/daemonsettings.h"

#include "config/daemonsettingscheck.h"
#include "config/jsontext.h"
#include "config/objectreader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

std::vector<HostAddress> readSeeds(ObjectReader &reader, ErrorList &errors)
{
    std::vector<HostAddress> seeds;
    reader.list("seeds", false, [&](const json &entry, const std::string &location) {
        const auto address = entry.is_string() ? HostAddress::parse(entry.get<std::string>()) : std::nullopt;
        if (!address) {
            errors.add(location, entry, "an address in quotes");
        }
        seeds.push_back(address.value_or(HostAddress()));
    });
    return seeds;
}

DaemonSettings readSettings(const json &value, ErrorList &errors)
{
    ObjectReader reader(value, "", errors);
    DaemonSettings settings;
    settings.server = ServerName(reader.idText("server"));
    settings.domain = FailureDomainName(reader.idText("domain"));
    settings.callers = HostAddress(reader.idText("callers"));
    settings.local = HostAddress(reader.idText("local"));
    settings.peers = HostAddress(reader.idText("peers"));
    settings.backend = HostAddress(reader.idText("backend"));
    settings.healthPath = reader.idText("healthPath");
    settings.platform = HostAddress(reader.idText("platform"));
    settings.seeds = readSeeds(reader, errors);
    if (reader.has("workers")) {
        // Only the type is checked here; DaemonSettingsCheck checks the range.
        settings.workers = static_cast<int>(
            reader.integer("workers", std::numeric_limits<int>::min(), std::numeric_limits<int>::max()));
    }
    if (reader.has("logDirectory")) {
        settings.logDirectory = reader.text("logDirectory", kMaximumLogDirectoryBytes);
    }
    reader.finish();
    return settings;
}

} // namespace

tl::expected<DaemonSettings, std::vector<ConfigError>> parseDaemonSettings(std::string_view text,
                                                                           const std::string &file)
{
    ErrorList list(file);
    const json value = parseJsonText(text, list);
    if (value.is_null() && !list.empty()) {
        return tl::unexpected(list.extractErrors());
    }
    DaemonSettings settings = readSettings(value, list);
    std::vector<ConfigError> errors = list.extractErrors();
    if (!value.is_object()) {
        return tl::unexpected(std::move(errors));
    }
    // The reader reported values of the wrong type and replaced them by defaults, which must not be reported again.
    for (ConfigError &error : DaemonSettingsCheck(file).check(settings)) {
        const bool reported = std::any_of(errors.begin(), errors.end(),
                                          [&](const ConfigError &other) { return other.location == error.location; });
        if (!reported) {
            errors.push_back(std::move(error));
        }
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return settings;
}

} // namespace Hibiscus
