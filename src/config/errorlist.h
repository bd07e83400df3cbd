#ifndef HIBISCUS_CONFIG_ERRORLIST_H
#define HIBISCUS_CONFIG_ERRORLIST_H

#include "config/configerror.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Collects the errors of one file. */
class ErrorList
{
public:
    explicit ErrorList(std::string file);

    /** For a value that is missing, which is then empty, or can't be shown as JSON. */
    void addUnquoted(std::string location, std::string value, std::string allowed);
    /** Quotes @p value as it would stand in the file, shortened. */
    void add(std::string location, const nlohmann::json &value, std::string allowed);

    bool empty() const
    {
        return errors_.empty();
    }
    std::vector<ConfigError> extractErrors();

private:
    std::string file_;
    std::vector<ConfigError> errors_;
};

} // namespace Hibiscus

#endif
