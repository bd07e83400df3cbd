#include "ctl/statuscommand.h"

#include "ctl/configurationstore.h"
#include "ctl/confirmations.h"
#include "ctl/daemonstatus.h"

#include <algorithm>

namespace Hibiscus
{

using nlohmann::json;

CommandResult StatusCommand::runPlatform(ObjectStore &store)
{
    const auto loaded = ConfigurationStore(store).load();
    if (!loaded) {
        return loaded.error();
    }
    if (!loaded->has_value()) {
        return failure(ExitCode::Success, "the platform holds no configuration yet");
    }
    const Configuration &current = **loaded;
    Confirmations confirmations(store, current.inventory);
    const bool answered = confirmations.look(current.version);
    if (!answered) {
        return failure(ExitCode::Unavailable, "the platform does not answer");
    }
    const std::vector<std::string> missing = confirmations.missing(current.version);
    CommandResult result;
    result.code = missing.empty() ? ExitCode::Success : ExitCode::Pending;
    result.details = {{"version", current.version.value()},
                      {"result", missing.empty() ? "accepted" : "pending"},
                      {"domains", confirmations.details()},
                      {"unconfirmed", missing}};
    const std::string version = "version " + std::to_string(current.version.value());
    result.lines = {missing.empty() ? version + " is accepted: in force in all failure domains"
                                    : version + " is pending: not confirmed by " + joinNames(missing)};
    for (const DomainConfirmation &domain : confirmations.domains()) {
        result.lines.push_back("failure domain " + domain.domain.value() + ": confirmed "
                               + (domain.version ? "version " + std::to_string(domain.version->value()) : "none"));
    }
    return result;
}

CommandResult StatusCommand::runDaemons(DaemonClient &client, const std::vector<HostAddress> &daemons)
{
    CommandResult result;
    result.details["daemons"] = json::array();
    for (const HostAddress &daemon : daemons) {
        json entry{{"address", daemon.value()}};
        const auto status = fetchStatus(client, daemon);
        if (status) {
            result.lines.push_back(describeStatus(daemon, *status));
            entry["status"] = status->whole;
        } else {
            result.lines.push_back(status.error().message);
            entry["error"] = status.error().message;
            result.code = std::max(result.code, status.error().answered ? ExitCode::Invalid : ExitCode::Unavailable);
        }
        result.details["daemons"].push_back(entry);
    }
    return result;
}

CommandResult StatusCommand::merge(const CommandResult &platform, const CommandResult &daemons)
{
    CommandResult result = platform;
    result.code = std::max(platform.code, daemons.code);
    result.lines.insert(result.lines.end(), daemons.lines.begin(), daemons.lines.end());
    result.details.update(daemons.details);
    return result;
}

} // namespace Hibiscus
