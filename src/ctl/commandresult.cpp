#include "ctl/commandresult.h"

namespace Hibiscus
{

using nlohmann::json;

CommandResult failure(ExitCode code, const std::string &message)
{
    return {code, {message}, {{"message", message}}};
}

CommandResult invalidFiles(const std::vector<ConfigError> &errors)
{
    CommandResult result;
    result.code = ExitCode::Invalid;
    json list = json::array();
    for (const ConfigError &error : errors) {
        result.lines.push_back(formatConfigError(error));
        list.push_back(
            {{"file", error.file}, {"place", error.location}, {"value", error.value}, {"allowed", error.allowed}});
    }
    result.details["errors"] = list;
    return result;
}

std::string formatJson(const CommandResult &result)
{
    constexpr int kIndent = 2;
    json value = result.details;
    value["exitCode"] = static_cast<int>(result.code);
    return value.dump(kIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace Hibiscus
