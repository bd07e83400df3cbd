#ifndef HIBISCUS_CONFIG_CONFIGERROR_H
#define HIBISCUS_CONFIG_CONFIGERROR_H

#include <string>
#include <vector>

namespace Hibiscus
{

/** One error in a configuration file. */
struct ConfigError {
    std::string file;
    std::string location; ///< "line 3, column 7" for a syntax error, else a JSON pointer such as "/servers/2/slots".
    std::string value; ///< The rejected value as written in the file; empty if it is missing.
    std::string allowed; ///< Description of the values that are allowed at that location.

    friend bool operator==(const ConfigError &, const ConfigError &) = default;
};

/** One line "file: location: value: expected allowed values". */
std::string formatConfigError(const ConfigError &error);

/** All errors, one line each, separated by line breaks. */
std::string formatConfigErrors(const std::vector<ConfigError> &errors);

} // namespace Hibiscus

#endif
