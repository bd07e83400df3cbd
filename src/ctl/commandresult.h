#ifndef HIBISCUS_CTL_COMMANDRESULT_H
#define HIBISCUS_CTL_COMMANDRESULT_H

#include "config/configerror.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Exit codes of hibiscusctl; docs/OPERATIONS.md lists them. */
enum class ExitCode {
    Success = 0,
    Invalid = 1, ///< A file, the stored configuration or a daemon's response isn't valid.
    Usage = 2, ///< Wrong arguments; nothing was done.
    Pending = 3, ///< A drain has begun, but requests were still in flight at the timeout.
    Conflict = 4, ///< Another change was written first; nothing was written.
    Unavailable = 5, ///< No response from the platform or a daemon; nothing was written.
    Unknown = 6, ///< Responses were lost, and it isn't known whether the change was made.
};

/** Result of a command, as text lines and as JSON. */
struct CommandResult {
    ExitCode code = ExitCode::Success;
    std::vector<std::string> lines;
    nlohmann::json details = nlohmann::json::object();
};

/** Result of a command that fails with one message. */
CommandResult failure(ExitCode code, const std::string &message);

/** Result of a command that fails because files or the stored configuration are invalid. */
CommandResult invalidFiles(const std::vector<ConfigError> &errors);

/** Formats the details of a result and its exit code as JSON. */
std::string formatJson(const CommandResult &result);

} // namespace Hibiscus

#endif
