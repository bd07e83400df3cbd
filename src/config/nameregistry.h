#ifndef HIBISCUS_CONFIG_NAMEREGISTRY_H
#define HIBISCUS_CONFIG_NAMEREGISTRY_H

#include "config/errorlist.h"

#include <map>
#include <string>

namespace Hibiscus
{

/** Names of one kind in a file: reports duplicate, undefined and unused names. */
class NameRegistry
{
public:
    /** @p kind is the kind of the names in error texts, such as "server". */
    NameRegistry(std::string kind, ErrorList &errors);

    /** Adds the name defined at @p location; reports a name that is already defined. Ignores empty names. */
    void addDefinition(const std::string &name, const std::string &location);
    /**
     * Marks a name as used; reports a name that isn't defined. Ignores empty names, and all names if none is defined,
     * because the invalid name or list was reported before.
     */
    void addReference(const std::string &name, const std::string &location);
    /**
     * Reports the defined names without a reference. Reports nothing if a reference was undefined, since it may be a
     * misspelling of one of them.
     */
    void reportUnused(const std::string &allowed);

private:
    struct Definition {
        std::string location;
        bool used = false;
    };

    std::string kind_;
    ErrorList &errors_;
    std::map<std::string, Definition> definitions_;
    bool hasUndefinedReference_ = false;
};

} // namespace Hibiscus

#endif
