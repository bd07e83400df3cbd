#ifndef HIBISCUS_CTL_CONFIGURATIONFILES_H
#define HIBISCUS_CTL_CONFIGURATIONFILES_H

#include "config/inventory.h"
#include "config/rules.h"

#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Content of an inventory file and the rules file that goes with it. */
struct ConfigurationFiles {
    Inventory inventory;
    Rules rules;
};

/** Reads and checks both files; the errors of both are returned together. */
tl::expected<ConfigurationFiles, std::vector<ConfigError>> loadConfigurationFiles(const std::string &inventoryPath,
                                                                                  const std::string &rulesPath);

} // namespace Hibiscus

#endif
