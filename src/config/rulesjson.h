#ifndef HIBISCUS_CONFIG_RULESJSON_H
#define HIBISCUS_CONFIG_RULESJSON_H

#include "config/errorlist.h"
#include "config/rules.h"

#include <string>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Reads and checks the rules at @p location of a file. The result is only valid if no error was added. */
Rules readRules(const nlohmann::json &value, const std::string &location, const Inventory &inventory,
                ErrorList &errors);

/** Inverse of readRules(). */
nlohmann::json writeRules(const Rules &rules);

} // namespace Hibiscus

#endif
