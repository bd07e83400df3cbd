#ifndef HIBISCUS_CONFIG_DAEMONSETTINGSCHECK_H
#define HIBISCUS_CONFIG_DAEMONSETTINGSCHECK_H

#include "config/configerror.h"
#include "config/daemonsettings.h"
#include "config/inventory.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** Checks every value of a daemon's settings, however they were filled. */
class DaemonSettingsCheck
{
public:
    /** @p file is named in the errors. */
    explicit DaemonSettingsCheck(std::string file);

    /** Errors of the values on their own and among each other; empty if there are none. */
    std::vector<ConfigError> check(const DaemonSettings &settings) const;

    /** Errors where the settings contradict the inventory; empty if there are none. */
    std::vector<ConfigError> checkAgainst(const DaemonSettings &settings, const Inventory &inventory) const;

private:
    std::string file_;
};

} // namespace Hibiscus

#endif
