#include "config/configerror.h"

namespace Hibiscus
{

std::string formatConfigError(const ConfigError &error)
{
    const std::string value = error.value.empty() ? "missing" : error.value;
    return error.file + ": " + error.location + ": " + value + ": expected " + error.allowed;
}

std::string formatConfigErrors(const std::vector<ConfigError> &errors)
{
    std::string text;
    for (const ConfigError &error : errors) {
        if (!text.empty()) {
            text += '\n';
        }
        text += formatConfigError(error);
    }
    return text;
}

} // namespace Hibiscus
