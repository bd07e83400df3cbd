#include "ctl/statuscommand.h"

#include "ctl/configurationstore.h"
#include "ctl/daemonstatus.h"
#include "directory/serverregistration.h"

#include <algorithm>

namespace Hibiscus
{

using nlohmann::json;

namespace
{

void addServer(CommandResult &result, const KeyedObject &entry)
{
    const std::string name = entry.key.substr(entry.key.find('/') + 1);
    const auto server = ServerName::parse(name);
    const auto registration = server ? parseRegistration(*server, entry.object.value) : std::nullopt;
    if (!registration) {
        result.lines.push_back("server " + name + ": its entry can't be read");
        result.details["servers"].push_back({{"name", name}, {"readable", false}});
        return;
    }
    const std::string state(serverStateName(registration->state));
    result.lines.push_back("server " + name + ": " + state + ", service " + registration->service.value()
                           + ", failure domain " + registration->domain.value() + ", daemon "
                           + registration->daemon.value());
    result.details["servers"].push_back({{"name", name},
                                         {"readable", true},
                                         {"state", state},
                                         {"service", registration->service.value()},
                                         {"domain", registration->domain.value()},
                                         {"daemon", registration->daemon.value()}});
}

} // namespace

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
    const StoreResult<ObjectListing> listing = store.listKind(kRegistrationKind, ReadMode::Latest);
    if (!listing) {
        return failure(ExitCode::Unavailable, "the platform does not answer");
    }
    CommandResult result;
    result.details = {{"version", current.version.value()}, {"servers", json::array()}};
    result.lines = {"version " + std::to_string(current.version.value()) + " is accepted"};
    for (const KeyedObject &entry : listing->objects) {
        addServer(result, entry);
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
            entry["status"] = status->body;
        } else {
            result.lines.push_back(status.error().message);
            entry["error"] = status.error().message;
            result.code = std::max(result.code, status.error().responded ? ExitCode::Invalid : ExitCode::Unavailable);
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
