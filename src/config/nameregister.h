#ifndef HIBISCUS_CONFIG_NAMEREGISTER_H
#define HIBISCUS_CONFIG_NAMEREGISTER_H

#include "config/errorlist.h"

#include <map>
#include <string>

namespace Hibiscus
{

/** Names of one kind in a file: finds duplicates, references to names that don't exist and names that nothing uses. */
class NameRegister
{
public:
    /** @p kind is the kind of the names in error texts, such as "server". */
    NameRegister(std::string kind, ErrorList &errors);

    /** Adds a name that stands at @p place; reports one that is there already. Empty names are ignored. */
    void define(const std::string &name, const std::string &place);
    /** Reports a name that was not defined. Empty names and lists, whose fault was reported before, are ignored. */
    void refer(const std::string &name, const std::string &place);
    /** Reports the defined names to which nothing referred, unless a reference was misspelled and may mean them. */
    void reportUnused(const std::string &allowed);

private:
    struct Definition {
        std::string place;
        bool used = false;
    };

    std::string kind_;
    ErrorList &errors_;
    std::map<std::string, Definition> definitions_;
    bool dangling_ = false;
};

} // namespace Hibiscus

#endif
