#include "ctl/configurationfiles.h"

#include "config/configfile.h"

namespace Hibiscus
{

namespace
{

void append(std::vector<ConfigError> &errors, const std::vector<ConfigError> &more)
{
    errors.insert(errors.end(), more.begin(), more.end());
}

} // namespace

tl::expected<ConfigurationFiles, std::vector<ConfigError>> loadConfigurationFiles(const std::string &inventoryPath,
                                                                                  const std::string &rulesPath)
{
    std::vector<ConfigError> errors;
    ConfigurationFiles files;
    if (const auto text = readConfigFile(inventoryPath); !text) {
        errors.push_back(text.error());
    } else if (auto inventory = parseInventory(*text, inventoryPath); !inventory) {
        append(errors, inventory.error());
    } else {
        files.inventory = std::move(*inventory);
    }
    // Without a valid inventory the rules are checked except for their services, so that one run finds all errors.
    if (const auto text = readConfigFile(rulesPath); !text) {
        errors.push_back(text.error());
    } else if (auto rules = parseRules(*text, rulesPath, files.inventory); !rules) {
        append(errors, rules.error());
    } else {
        files.rules = std::move(*rules);
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return files;
}

} // namespace Hibiscus
