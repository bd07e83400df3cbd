#ifndef HIBISCUS_CTL_COMMANDRESULT_H
#define HIBISCUS_CTL_COMMANDRESULT_H

#include "config/configerror.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Exit codes of hibiscusctl; docs/operations.md lists them. */
enum class ExitCode {
    Success = 0,
    Invalid = 1, ///< A file, the stored configuration or a daemon's answer isn't valid.
    Usage = 2, ///< Wrong arguments; nothing was done.
    Pending = 3, ///< Done, but not yet in force everywhere before the timeout.
    Conflict = 4, ///< Another change came first; nothing was written.
    Unavailable = 5, ///< No answer of the platform or a daemon; nothing was written.
    Unknown = 6, ///< Answers were lost, and it isn't known whether the change was written.
};

/** What a command has to say at its end, for people and for programs. */
struct CommandResult {
    ExitCode code = ExitCode::Success;
    std::vector<std::string> lines;
    nlohmann::json details = nlohmann::json::object();
};

/** Result of a command that stops at one message. */
CommandResult failure(ExitCode code, const std::string &message);

/** Result of a command that stops at errors in files. */
CommandResult invalidFiles(const std::vector<ConfigError> &errors);

/** JSON text of a result, with its exit code. */
std::string formatJson(const CommandResult &result);

} // namespace Hibiscus

#endif
