#ifndef HIBISCUS_CONFIG_ERRORLIST_H
#define HIBISCUS_CONFIG_ERRORLIST_H

#include "config/configerror.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Collects the errors of one file or of one object of the platform. */
class ErrorList
{
public:
    explicit ErrorList(std::string file);

    /** Adds an error whose @p value is used as it is: empty for a missing value, or a description of the fault. */
    void addUnquoted(std::string location, std::string value, std::string allowed);
    /** Adds an error that quotes @p value as JSON, truncated if it is long. */
    void add(std::string location, const nlohmann::json &value, std::string allowed);

    bool empty() const
    {
        return errors_.empty();
    }
    /** Returns all errors and clears the list. */
    std::vector<ConfigError> extractErrors();

private:
    std::string file_;
    std::vector<ConfigError> errors_;
};

} // namespace Hibiscus

#endif
