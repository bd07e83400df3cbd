#ifndef HIBISCUS_CTL_CHECKCOMMAND_H
#define HIBISCUS_CTL_CHECKCOMMAND_H

#include "config/configfile.h"
#include "config/inventory.h"
#include "ctl/commandresult.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** Checks inventory, rules and daemon settings files. Rules need the inventory among the files; daemon settings are
 * checked against it if it is among them. */
class CheckCommand
{
public:
    CommandResult run(const std::vector<std::string> &paths);

private:
    struct File {
        std::string path;
        std::string text;
        ConfigFileKind kind;
    };

    void readFile(const std::string &path);
    void checkInventory(const File &file);
    void checkRules(const File &file);
    void checkSettings(const File &file);
    void addErrors(const std::vector<ConfigError> &errors);

    std::vector<File> files_;
    std::vector<ConfigError> errors_;
    int inventoryCount_ = 0;
    Inventory inventory_; ///< Stays empty if the inventory is invalid.
};

} // namespace Hibiscus

#endif
