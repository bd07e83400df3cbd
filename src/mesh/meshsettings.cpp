#include "mesh/meshsettings.h"

#include "config/jsontext.h"
#include "config/objectreader.h"
#include "config/valueformat.h"

namespace Hibiscus
{

namespace
{

using nlohmann::json;

constexpr const char *kMode = "mesh";
constexpr std::size_t kMaximumHostBytes = 255;
constexpr Millis kMinimumDuration{1};
constexpr Millis kMaximumDuration{3'600'000};
constexpr double kMaximumRatio = 10;
constexpr double kMaximumSlack = 1'000'000;
constexpr std::int64_t kMinimumHeldBytes = 1 << 20;
constexpr std::int64_t kMaximumHeldBytes = std::int64_t{1} << 40;
constexpr std::int64_t kMinimumConnections = 8;
constexpr std::int64_t kMaximumConnections = 1'000'000;

HostAddress readAddress(ObjectReader &reader, std::string_view key, ErrorList &errors)
{
    const std::string text = reader.idText(key);
    if (!parseAddress(text)) {
        errors.add(reader.locationOf(key), json(text), "an IP address with a port, such as \"10.0.0.9:8090\"");
    }
    return HostAddress(text);
}

double readNumber(ObjectReader &reader, std::string_view key, double maximum, ErrorList &errors)
{
    const json &value = reader.member(key);
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > maximum) {
        errors.add(reader.locationOf(key), value, "a number from 0 to " + std::to_string(maximum));
        return 0;
    }
    return value.get<double>();
}

RetryBudgetSettings readRetryBudget(const json &value, const std::string &location, ErrorList &errors)
{
    ObjectReader reader(value, location, errors);
    RetryBudgetSettings settings;
    if (!reader.isObject()) {
        return settings;
    }
    settings.ratio = readNumber(reader, "ratio", kMaximumRatio, errors);
    settings.window = reader.duration("window", kMinimumDuration, kMaximumDuration);
    settings.slack = readNumber(reader, "slack", kMaximumSlack, errors);
    reader.finish();
    return settings;
}

ClientSettings readClients(const json &value, const std::string &location, ErrorList &errors)
{
    ObjectReader reader(value, location, errors);
    ClientSettings settings;
    if (!reader.isObject()) {
        return settings;
    }
    if (reader.has("heldBytes")) {
        settings.heldBytes = reader.integer("heldBytes", kMinimumHeldBytes, kMaximumHeldBytes);
    }
    if (reader.has("connections")) {
        settings.connections = reader.integer("connections", kMinimumConnections, kMaximumConnections);
    }
    reader.finish();
    return settings;
}

MeshSettings readSettings(const json &value, ErrorList &errors)
{
    ObjectReader reader(value, "", errors);
    MeshSettings settings;
    if (!reader.isObject()) {
        return settings;
    }
    if (reader.freeText("mode") != kMode) {
        errors.add(reader.locationOf("mode"), reader.member("mode"), "\"mesh\"");
    }
    settings.host = reader.text("host", kMaximumHostBytes);
    settings.domain = FailureDomainName(reader.idText("domain"));
    settings.service = ServiceName(reader.idText("service"));
    settings.callers = readAddress(reader, "callers", errors);
    settings.ready = readAddress(reader, "ready", errors);
    settings.checkIns = readAddress(reader, "checkIns", errors);
    settings.peers = readAddress(reader, "peers", errors);
    if (reader.has("metrics")) {
        settings.metrics = readAddress(reader, "metrics", errors);
    }
    settings.backend = readAddress(reader, "backend", errors);
    settings.store = readAddress(reader, "store", errors);
    settings.gracePeriod = reader.duration("gracePeriod", kMinimumDuration, kMaximumDuration);
    settings.retryBudget = readRetryBudget(reader.member("retryBudget"), reader.locationOf("retryBudget"), errors);
    if (reader.has("clients")) {
        settings.clients = readClients(reader.member("clients"), reader.locationOf("clients"), errors);
    }
    reader.finish();
    return settings;
}

} // namespace

tl::expected<MeshSettings, std::vector<ConfigError>> parseMeshSettings(std::string_view text, const std::string &file)
{
    ErrorList errors(file);
    const json value = parseJsonText(text, errors);
    if (value.is_null() && !errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    MeshSettings settings = readSettings(value, errors);
    if (!errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    return settings;
}

bool isMeshSettings(std::string_view text)
{
    ErrorList ignored(""); // The parse function for the detected kind of settings reports the errors.
    const json value = parseJsonText(text, ignored);
    return value.is_object() && value.contains("mode") && value["mode"] == kMode;
}

} // namespace Hibiscus
