#include "config/nameregister.h"

#include <cstddef>
#include <utility>

namespace Hibiscus
{

namespace
{

/** Most names that an error lists. */
constexpr std::size_t kListedNames = 12;

} // namespace

NameRegister::NameRegister(std::string kind, ErrorList &errors)
    : kind_(std::move(kind))
    , errors_(errors)
{
}

void NameRegister::define(const std::string &name, const std::string &place)
{
    if (name.empty()) {
        return;
    }
    const auto [found, inserted] = definitions_.try_emplace(name, Definition{place});
    if (!inserted) {
        errors_.add(place, nlohmann::json(name), "a " + kind_ + " that is not already at " + found->second.place);
    }
}

void NameRegister::refer(const std::string &name, const std::string &place)
{
    if (name.empty() || definitions_.empty()) {
        return;
    }
    const auto found = definitions_.find(name);
    if (found != definitions_.end()) {
        found->second.used = true;
        return;
    }
    dangling_ = true;
    std::string allowed = "the name of a " + kind_ + " in the list";
    if (definitions_.size() <= kListedNames) {
        const char *separator = ": ";
        for (const auto &[known, definition] : definitions_) {
            allowed += separator + known;
            separator = ", ";
        }
    }
    errors_.add(place, nlohmann::json(name), allowed);
}

void NameRegister::reportUnused(const std::string &allowed)
{
    for (const auto &[name, definition] : definitions_) {
        if (!definition.used && !dangling_) {
            errors_.add(definition.place, nlohmann::json(name), allowed);
        }
    }
}

} // namespace Hibiscus
