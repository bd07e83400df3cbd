#ifndef HIBISCUS_CONFIG_CONFIGERROR_H
#define HIBISCUS_CONFIG_CONFIGERROR_H

#include <string>
#include <vector>

namespace Hibiscus
{

/** One fault in a configuration file. */
struct ConfigError {
    std::string file;
    std::string
        location; ///< "line 3, column 7" for syntax errors, otherwise a JSON pointer such as "/servers/2/slots".
    std::string value; ///< The rejected value as it stands in the file; empty if it is missing.
    std::string allowed; ///< What is allowed at that location.

    friend bool operator==(const ConfigError &, const ConfigError &) = default;
};

/** One line "file: location: value: expected what is allowed". */
std::string formatConfigError(const ConfigError &error);

/** All errors, one line each, joined with line breaks. */
std::string formatConfigErrors(const std::vector<ConfigError> &errors);

} // namespace Hibiscus

#endif
