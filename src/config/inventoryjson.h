#ifndef HIBISCUS_CONFIG_INVENTORYJSON_H
#define HIBISCUS_CONFIG_INVENTORYJSON_H

#include "config/errorlist.h"
#include "config/inventory.h"

#include <string>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Reads and checks the inventory at @p location of a file. The result is only valid if no error was added. */
Inventory readInventory(const nlohmann::json &value, const std::string &location, ErrorList &errors);

/** Inverse of readInventory(). */
nlohmann::json writeInventory(const Inventory &inventory);

} // namespace Hibiscus

#endif
