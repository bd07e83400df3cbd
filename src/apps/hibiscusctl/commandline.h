#ifndef HIBISCUS_APPS_HIBISCUSCTL_COMMANDLINE_H
#define HIBISCUS_APPS_HIBISCUSCTL_COMMANDLINE_H

#include "ctl/commandresult.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

namespace Hibiscus
{

/** Command line of hibiscusctl: parses the arguments and runs the command that they name. */
class CommandLine
{
public:
    CommandLine();

    /** Parses and runs; returns the exit code of the process. */
    int run(int argc, char **argv);

private:
    void addCheck();
    void addCheckRoutes();
    void addDiff();
    void addApply();
    void addStatus();
    void addDrain();
    void addHistory();
    void addFiles(CLI::App *command);
    CLI::Option *addPlatform(CLI::App *command);

    CommandResult dispatch();
    CommandResult runCheckRoutes();
    CommandResult runDiff();
    CommandResult runApply();
    CommandResult runStatus();
    CommandResult runDrain();

    CLI::App app_;
    bool json_ = false;
    std::string platform_;
    std::vector<std::string> files_;
    std::string routesPath_;
    std::string inForcePath_;
    std::string inventoryPath_;
    std::string rulesPath_;
    std::vector<std::string> oldFiles_;
    std::optional<std::uint64_t> base_;
    std::string author_;
    std::string message_;
    double timeoutSeconds_ = 0;
    std::vector<std::string> daemons_;
    std::string server_;
    std::size_t historyLimit_ = 0;
    std::string changeId_;
};

} // namespace Hibiscus

#endif
