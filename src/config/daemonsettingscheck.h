#ifndef HIBISCUS_CONFIG_DAEMONSETTINGSCHECK_H
#define HIBISCUS_CONFIG_DAEMONSETTINGSCHECK_H

#include "config/configerror.h"
#include "config/daemonsettings.h"
#include "config/inventory.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** Checks every value of a daemon's settings, whether they were read from a file or set in code. */
class DaemonSettingsCheck
{
public:
    /** @p file is the file name in the errors. */
    explicit DaemonSettingsCheck(std::string file);

    /** Invalid values and conflicts between values; empty if there are none. */
    std::vector<ConfigError> check(const DaemonSettings &settings) const;

    /** Contradictions between the settings and the inventory; empty if there are none. */
    std::vector<ConfigError> checkAgainst(const DaemonSettings &settings, const Inventory &inventory) const;

private:
    std::string file_;
};

} // namespace Hibiscus

#endif
