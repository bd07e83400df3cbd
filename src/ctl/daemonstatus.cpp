#include "ctl/daemonstatus.h"

#include "core/jsondocument.h"

namespace Hibiscus
{

namespace
{

using nlohmann::json;

bool isUsable(const json &value)
{
    return value.is_object() && value.contains("server") && value["server"].is_string() && value.contains("draining")
        && value["draining"].is_boolean() && value.contains("inFlight") && value["inFlight"].is_number_integer();
}

} // namespace

tl::expected<DaemonStatus, DaemonError> fetchStatus(DaemonClient &client, const HostAddress &daemon)
{
    const auto body = client.status(daemon);
    if (!body) {
        return tl::unexpected(body.error());
    }
    json value = readJson(*body).value_or(json());
    if (!isUsable(value)) {
        return tl::unexpected(DaemonError{true, daemon.value() + " answered with something other than a status"});
    }
    DaemonStatus status;
    status.server = ServerName(value["server"].get<std::string>());
    status.draining = value["draining"].get<bool>();
    status.inFlight = value["inFlight"].get<std::int64_t>();
    if (value.contains("domain") && value["domain"].is_string()) {
        status.domain = FailureDomainName(value["domain"].get<std::string>());
    }
    if (value.contains("configVersion") && value["configVersion"].is_number_unsigned()) {
        status.configVersion = ConfigVersion(value["configVersion"].get<std::uint64_t>());
    }
    status.body = std::move(value);
    return status;
}

std::string describeStatus(const HostAddress &daemon, const DaemonStatus &status)
{
    const std::string version = status.configVersion ? std::to_string(status.configVersion->value()) : "unknown";
    return status.server.value() + " at " + daemon.value() + ": failure domain " + status.domain.value()
        + ", configuration version " + version + ", " + std::to_string(status.inFlight) + " in flight"
        + (status.draining ? ", draining" : "");
}

} // namespace Hibiscus
