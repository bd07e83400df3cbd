#include "ctl/diffcommand.h"

#include "config/configurationdifference.h"
#include "ctl/configurationstore.h"

namespace Hibiscus
{

namespace
{

CommandResult describe(const std::vector<std::string> &changes)
{
    CommandResult result;
    result.lines = changes;
    if (changes.empty()) {
        result.lines = {"no difference"};
    }
    result.details["changes"] = changes;
    return result;
}

} // namespace

CommandResult DiffCommand::runAgainstPlatform(ObjectStore &store, const ConfigurationFiles &files)
{
    const auto loaded = ConfigurationStore(store).load();
    if (!loaded) {
        return loaded.error();
    }
    const Configuration current = loaded->value_or(Configuration{});
    CommandResult result = describe(describeDifference(current.inventory, current.rules, files.inventory, files.rules));
    const std::string base = std::to_string(current.version.value());
    result.lines.push_back(loaded->has_value() ? "compared with version " + base + "; apply with --base " + base
                                               : "the platform holds no configuration yet");
    result.details["base"] = current.version.value();
    return result;
}

CommandResult DiffCommand::runAgainstFiles(const ConfigurationFiles &before, const ConfigurationFiles &after)
{
    return describe(describeDifference(before.inventory, before.rules, after.inventory, after.rules));
}

} // namespace Hibiscus
