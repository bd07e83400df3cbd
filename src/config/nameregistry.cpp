#include "config/nameregistry.h"

#include <cstddef>
#include <utility>

namespace Hibiscus
{

namespace
{

/** An error lists the defined names only if there are no more than this. */
constexpr std::size_t kMaximumListedNames = 12;

} // namespace

NameRegistry::NameRegistry(std::string kind, ErrorList &errors)
    : kind_(std::move(kind))
    , errors_(errors)
{
}

void NameRegistry::addDefinition(const std::string &name, const std::string &location)
{
    if (name.empty()) {
        return;
    }
    const auto [found, inserted] = definitions_.try_emplace(name, Definition{location});
    if (!inserted) {
        errors_.add(location, nlohmann::json(name),
                    "a " + kind_ + " that is not already defined at " + found->second.location);
    }
}

void NameRegistry::addReference(const std::string &name, const std::string &location)
{
    if (name.empty() || definitions_.empty()) {
        return;
    }
    const auto found = definitions_.find(name);
    if (found != definitions_.end()) {
        found->second.used = true;
        return;
    }
    hasUndefinedReference_ = true;
    std::string allowed = "the name of a " + kind_ + " in the list";
    if (definitions_.size() <= kMaximumListedNames) {
        const char *separator = ": ";
        for (const auto &[known, definition] : definitions_) {
            allowed += separator + known;
            separator = ", ";
        }
    }
    errors_.add(location, nlohmann::json(name), allowed);
}

void NameRegistry::reportUnused(const std::string &allowed)
{
    for (const auto &[name, definition] : definitions_) {
        if (!definition.used && !hasUndefinedReference_) {
            errors_.add(definition.location, nlohmann::json(name), allowed);
        }
    }
}

} // namespace Hibiscus
