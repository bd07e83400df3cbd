#ifndef HIBISCUS_CTL_CHECKCOMMAND_H
#define HIBISCUS_CTL_CHECKCOMMAND_H

#include "config/configfile.h"
#include "config/inventory.h"
#include "ctl/commandresult.h"

#include <string>
#include <vector>

namespace Hibiscus
{

/** Checks files of all three kinds; rules and daemon settings against the inventory among them. */
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

    void read(const std::string &path);
    void checkInventory(const File &file);
    void checkRules(const File &file);
    void checkSettings(const File &file);
    void add(const std::vector<ConfigError> &errors);

    std::vector<File> files_;
    std::vector<ConfigError> errors_;
    int inventories_ = 0;
    Inventory inventory_; ///< Stays empty if the inventory is faulty.
};

} // namespace Hibiscus

#endif
