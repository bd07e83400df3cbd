#include "ctl/checkcommand.h"

#include "config/daemonsettings.h"
#include "config/daemonsettingscheck.h"
#include "config/errorlist.h"
#include "config/jsontext.h"
#include "config/rules.h"

namespace Hibiscus
{

namespace
{

const char *kindName(ConfigFileKind kind)
{
    switch (kind) {
    case ConfigFileKind::Inventory:
        return "inventory";
    case ConfigFileKind::Rules:
        return "rules";
    case ConfigFileKind::DaemonSettings:
        return "daemon settings";
    }
    return "";
}

} // namespace

CommandResult CheckCommand::run(const std::vector<std::string> &paths)
{
    for (const std::string &path : paths) {
        readFile(path);
    }
    for (const File &file : files_) {
        if (file.kind == ConfigFileKind::Inventory) {
            checkInventory(file);
        }
    }
    CommandResult result;
    result.details["files"] = nlohmann::json::array();
    for (const File &file : files_) {
        if (file.kind == ConfigFileKind::Rules) {
            checkRules(file);
        } else if (file.kind == ConfigFileKind::DaemonSettings) {
            checkSettings(file);
        }
        result.lines.push_back(file.path + ": valid " + kindName(file.kind));
        result.details["files"].push_back({{"file", file.path}, {"kind", kindName(file.kind)}});
    }
    return errors_.empty() ? result : invalidFiles(errors_);
}

void CheckCommand::readFile(const std::string &path)
{
    const auto text = readConfigFile(path);
    if (!text) {
        errors_.push_back(text.error());
        return;
    }
    const auto kind = detectConfigFileKind(*text);
    if (kind) {
        files_.push_back({path, *text, *kind});
        return;
    }
    ErrorList syntax(path);
    parseJsonText(*text, syntax);
    if (syntax.empty()) {
        syntax.addUnquoted("/", "unknown kind of file", "an inventory, rules or daemon settings");
    }
    addErrors(syntax.extractErrors());
}

void CheckCommand::checkInventory(const File &file)
{
    ++inventoryCount_;
    auto inventory = parseInventory(file.text, file.path);
    if (!inventory) {
        addErrors(inventory.error());
    } else if (inventoryCount_ == 1) {
        inventory_ = std::move(*inventory);
    } else {
        errors_.push_back({file.path, "/", "second inventory", "one inventory with the files that belong to it"});
    }
}

void CheckCommand::checkRules(const File &file)
{
    if (inventoryCount_ == 0) {
        errors_.push_back({file.path, "/", "rules alone", "the inventory on the same command line, for the services"});
    }
    if (const auto rules = parseRules(file.text, file.path, inventory_); !rules) {
        addErrors(rules.error());
    }
}

void CheckCommand::checkSettings(const File &file)
{
    const auto settings = parseDaemonSettings(file.text, file.path);
    if (!settings) {
        addErrors(settings.error());
    } else if (!inventory_.servers.empty()) {
        addErrors(DaemonSettingsCheck(file.path).checkAgainst(*settings, inventory_));
    }
}

void CheckCommand::addErrors(const std::vector<ConfigError> &errors)
{
    errors_.insert(errors_.end(), errors.begin(), errors.end());
}

} // namespace Hibiscus
