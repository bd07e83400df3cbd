#ifndef HIBISCUS_CONFIG_CONFIGURATIONDIFFERENCE_H
#define HIBISCUS_CONFIG_CONFIGURATIONDIFFERENCE_H

#include "config/inventory.h"
#include "config/rules.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/**
 * Changes from one inventory and rules to another, one line of text per change.
 *
 * A line starts with "+" for an added entry, "-" for a removed one and "~" for a changed one. It contains the values
 * before and after, so that a removed entry can be restored from it. Empty if nothing changed.
 */
std::vector<std::string> describeDifference(const Inventory &oldInventory, const Rules &oldRules,
                                            const Inventory &newInventory, const Rules &newRules);

} // namespace Hibiscus

#endif
