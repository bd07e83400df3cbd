#include "commandline.h"

#include "config/configfile.h"
#include "config/valueformat.h"
#include "core/randomsource.h"
#include "core/steadyclock.h"
#include "ctl/applycommand.h"
#include "ctl/checkcommand.h"
#include "ctl/configurationfiles.h"
#include "ctl/diffcommand.h"
#include "ctl/draincommand.h"
#include "ctl/historycommand.h"
#include "ctl/httpdaemonclient.h"
#include "ctl/routecheckcommand.h"
#include "ctl/statuscommand.h"
#include "platform/httpobjectstore.h"
#include "platformconfigurationdecoder.h"
#include "platformobjectstore.h"

#include <chrono>
#include <iostream>

namespace Hibiscus
{

namespace
{

/** Time limit for the retries of apply after lost responses: twice the time within which a change has to be in force
 * everywhere, with a margin for faulty failure domains. */
constexpr double kApplyTimeoutSeconds = 60;
constexpr double kDrainTimeoutSeconds = 600;
constexpr double kMaximumTimeoutSeconds = 86'400;
constexpr double kMillisPerSecond = 1000;
constexpr std::size_t kHistoryLimit = 20;
constexpr std::size_t kMaximumHistory = 100'000;
/** Number of versions that are searched for a change id. */
constexpr std::size_t kChangeSearchLimit = 2000;
constexpr std::size_t kMaximumMessageBytes = 1000;

/** Writes progress to standard error, so that standard output contains only the result. */
class StandardErrorProgress : public Progress
{
public:
    void report(const std::string &line) override
    {
        std::cerr << line << std::endl;
    }
};

/** Owns the wait context of a command that waits in real time. */
struct RealTimeContext {
    SteadyClock clock;
    ThreadSleeper sleeper;
    StandardErrorProgress progress;

    WaitContext waitContext()
    {
        return {clock, sleeper, progress};
    }
};

std::string checkAddress(const std::string &text)
{
    return parseAddress(text) ? "" : "\"" + text + "\" is not an IP address with a port, such as 10.0.0.9:8090";
}

std::string checkMessage(const std::string &text)
{
    return text.size() <= kMaximumMessageBytes
        ? ""
        : "a message has at most " + std::to_string(kMaximumMessageBytes) + " bytes";
}

HttpObjectStore openPlatform(const std::string &address)
{
    StoreTransportSettings settings;
    settings.address = HostAddress(address);
    return HttpObjectStore(settings);
}

std::string generateChangeId()
{
    std::ostringstream text;
    text << std::hex << DeviceRandom().next();
    return text.str();
}

std::int64_t unixMillisNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

CommandLine::CommandLine()
    : app_("Checks, applies and inspects the configuration of a hibiscusdale deployment.", "hibiscusctl")
{
    app_.set_version_flag("--version", std::string("hibiscusctl ") + HIBISCUS_VERSION);
    app_.add_flag("--json", json_, "Write the result as JSON");
    app_.require_subcommand(1);
    app_.fallthrough();
    app_.footer("Exit codes: 0 done, 1 invalid file or answer, 2 wrong arguments, 3 pending, 4 conflict, 5 no answer "
                "and nothing written, 6 outcome unknown.");
    addCheck();
    addCheckRoutes();
    addDiff();
    addApply();
    addStatus();
    addDrain();
    addHistory();
}

void CommandLine::addCheck()
{
    CLI::App *command = app_.add_subcommand("check", "Check inventory, rules and daemon settings files");
    command->add_option("FILE", files_, "Files; rules need their inventory among them")->required();
}

void CommandLine::addCheckRoutes()
{
    CLI::App *command =
        app_.add_subcommand("check-routes", "Check a route configuration in the platform's format before it is sent");
    command->add_option("FILE", routesPath_, "Configuration, as it is to be written to the platform")->required();
    command->add_option("--against", inForcePath_, "Compare with the configuration in this file");
    addPlatform(command)->description("Compare with the configuration that the platform at this address holds");
}

void CommandLine::addFiles(CLI::App *command)
{
    command->add_option("INVENTORY", inventoryPath_, "Inventory file")->required();
    command->add_option("RULES", rulesPath_, "Rules file")->required();
}

CLI::Option *CommandLine::addPlatform(CLI::App *command)
{
    return command->add_option("--platform", platform_, "Address of the platform's object API")
        ->envname("HIBISCUS_PLATFORM")
        ->check(checkAddress);
}

void CommandLine::addDiff()
{
    CLI::App *command = app_.add_subcommand("diff", "Show what the files would change");
    addFiles(command);
    addPlatform(command);
    constexpr int kFilesPerConfiguration = 2;
    command->add_option("--against", oldFiles_, "Compare with these inventory and rules files, not with the platform")
        ->expected(kFilesPerConfiguration);
}

void CommandLine::addApply()
{
    CLI::App *command = app_.add_subcommand("apply", "Write a new configuration and wait until it is in force");
    addFiles(command);
    addPlatform(command)->required();
    command->add_option("--base", base_, "Version on which the files are based, as diff shows it");
    command->add_option("--author", author_, "Who makes the change")->envname("USER")->required();
    command->add_option("--message", message_, "Why it is made")->check(checkMessage);
    command->add_option("--timeout", timeoutSeconds_, "Longest wait in seconds [60]")
        ->check(CLI::Range(0.0, kMaximumTimeoutSeconds));
}

void CommandLine::addStatus()
{
    CLI::App *command = app_.add_subcommand("status", "Show the version in force and the state of daemons");
    addPlatform(command);
    command->add_option("--daemon", daemons_, "Callers listener of a daemon; may be repeated")->check(checkAddress);
}

void CommandLine::addDrain()
{
    CLI::App *command = app_.add_subcommand("drain", "Drain a server and wait until nothing is in flight there");
    command->add_option("SERVER", server_, "Name of the server")->required();
    command->add_option("--daemon", daemons_, "Callers listener of the server's daemon")
        ->check(checkAddress)
        ->expected(1)
        ->required();
    command->add_option("--timeout", timeoutSeconds_, "Longest wait in seconds [600]")
        ->check(CLI::Range(0.0, kMaximumTimeoutSeconds));
}

void CommandLine::addHistory()
{
    CLI::App *command = app_.add_subcommand("history", "Show past changes, newest first");
    addPlatform(command)->required();
    command->add_option("--limit", historyLimit_, "Versions to look at [20; 2000 with --change]")
        ->check(CLI::Range(std::size_t{1}, kMaximumHistory));
    command->add_option("--change", changeId_, "Show only this change, in full");
}

int CommandLine::run(int argc, char **argv)
{
    try {
        app_.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        // --help and --version exit with 0; other exit codes of the library aren't documented ones of hibiscusctl.
        return app_.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    const CommandResult result = dispatch();
    if (json_) {
        std::cout << formatJson(result) << std::endl;
        return static_cast<int>(result.code);
    }
    std::ostream &stream = result.code == ExitCode::Success || result.code == ExitCode::Pending ? std::cout : std::cerr;
    for (const std::string &line : result.lines) {
        stream << line << '\n';
    }
    stream.flush();
    return static_cast<int>(result.code);
}

CommandResult CommandLine::dispatch()
{
    const std::string name = app_.get_subcommands().front()->get_name();
    if (name == "check") {
        return CheckCommand().run(files_);
    }
    if (name == "check-routes") {
        return runCheckRoutes();
    }
    if (name == "diff") {
        return runDiff();
    }
    if (name == "apply") {
        return runApply();
    }
    if (name == "status") {
        return runStatus();
    }
    if (name == "drain") {
        return runDrain();
    }
    HttpObjectStore store = openPlatform(platform_);
    const std::size_t defaultLimit = changeId_.empty() ? kHistoryLimit : kChangeSearchLimit;
    return HistoryCommand(store).run({historyLimit_ == 0 ? defaultLimit : historyLimit_, changeId_});
}

CommandResult CommandLine::runCheckRoutes()
{
    const auto candidate = readConfigFile(routesPath_);
    if (!candidate) {
        return invalidFiles({candidate.error()});
    }
    const PlatformConfigurationDecoder decoder;
    std::optional<NamedText> inForce;
    if (!inForcePath_.empty()) {
        const auto text = readConfigFile(inForcePath_);
        if (!text) {
            return invalidFiles({text.error()});
        }
        inForce = NamedText{inForcePath_, *text};
    } else if (!platform_.empty()) {
        StoreTransportSettings settings;
        settings.address = HostAddress(platform_);
        const auto stored = PlatformObjectStore(settings).get(decoder.key());
        if (!stored) {
            return failure(ExitCode::Unavailable, "the platform: " + std::string(storeErrorName(stored.error())));
        }
        inForce = NamedText{decoder.key(), stored->value};
    }
    return RouteCheckCommand(decoder).run({routesPath_, *candidate}, inForce);
}

CommandResult CommandLine::runDiff()
{
    if (oldFiles_.empty() && platform_.empty()) {
        return failure(ExitCode::Usage, "diff needs --platform or --against");
    }
    const auto files = loadConfigurationFiles(inventoryPath_, rulesPath_);
    if (!files) {
        return invalidFiles(files.error());
    }
    if (oldFiles_.empty()) {
        HttpObjectStore store = openPlatform(platform_);
        return DiffCommand::runAgainstPlatform(store, *files);
    }
    const auto oldFiles = loadConfigurationFiles(oldFiles_[0], oldFiles_[1]);
    return oldFiles ? DiffCommand::runAgainstFiles(*oldFiles, *files) : invalidFiles(oldFiles.error());
}

CommandResult CommandLine::runApply()
{
    auto files = loadConfigurationFiles(inventoryPath_, rulesPath_);
    if (!files) {
        return invalidFiles(files.error());
    }
    ApplyRequest request;
    request.files = std::move(*files);
    if (base_) {
        request.base = ConfigVersion(*base_);
    }
    request.author = author_;
    request.message = message_;
    request.changeId = generateChangeId();
    request.unixMillis = unixMillisNow();
    const bool hasTimeout = app_.get_subcommand("apply")->count("--timeout") > 0;
    request.timeout = Millis{(hasTimeout ? timeoutSeconds_ : kApplyTimeoutSeconds) * kMillisPerSecond};
    HttpObjectStore store = openPlatform(platform_);
    RealTimeContext realTime;
    return ApplyCommand(store, realTime.waitContext()).run(request);
}

CommandResult CommandLine::runStatus()
{
    if (platform_.empty() && daemons_.empty()) {
        return failure(ExitCode::Usage, "status needs --platform, --daemon or both");
    }
    HttpDaemonClient client;
    const std::vector<HostAddress> daemons(daemons_.begin(), daemons_.end());
    if (platform_.empty()) {
        return StatusCommand::runDaemons(client, daemons);
    }
    HttpObjectStore store = openPlatform(platform_);
    const CommandResult platform = StatusCommand::runPlatform(store);
    return daemons.empty() ? platform : StatusCommand::merge(platform, StatusCommand::runDaemons(client, daemons));
}

CommandResult CommandLine::runDrain()
{
    const bool hasTimeout = app_.get_subcommand("drain")->count("--timeout") > 0;
    const Millis timeout{(hasTimeout ? timeoutSeconds_ : kDrainTimeoutSeconds) * kMillisPerSecond};
    HttpDaemonClient client;
    RealTimeContext realTime;
    return DrainCommand(client, realTime.waitContext())
        .run(ServerName(server_), HostAddress(daemons_.front()), timeout);
}

} // namespace Hibiscus
