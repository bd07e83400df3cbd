#include "caller/loadgenerator.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

using namespace Hibiscus;

namespace
{

/** Flags that add to the settings file or override it. */
struct Flags {
    std::string file;
    std::vector<std::string> classes;
    std::vector<std::string> targets;
    std::vector<std::string> servers;
    std::vector<std::string> executions;
    bool direct = false;
    bool baseline = false;
    double durationMs = 0;
    double surgeFactor = 0;
    double surgeStartMs = -1;
    double surgeEndMs = -1;
    std::uint64_t seed = 0;
    int resends = -1;
    std::string tagPrefix;
};

void addFlags(CLI::App &app, Flags &flags)
{
    app.add_option("--config", flags.file, "Settings file (JSON with comments)")->check(CLI::ExistingFile);
    app.add_option("--class", flags.classes, "name,METHOD,/svc/service/path,rate[,bodyBytes[,deadlineMs]]");
    app.add_option("--target", flags.targets, "Callers listener of a daemon");
    app.add_option("--server", flags.servers, "service=address of a backend server, for --direct and --baseline");
    app.add_option("--executions", flags.executions,
                   "Address of a backend server whose executions are compared with the outcomes");
    auto *direct = app.add_flag("--direct", flags.direct, "Call backend servers without the layer and without resends");
    app.add_flag("--baseline", flags.baseline, "Call backend servers without the layer, with resends")
        ->excludes(direct);
    app.add_option("--duration-ms", flags.durationMs, "Time in ms during which load is offered");
    app.add_option("--surge-factor", flags.surgeFactor, "Factor on all rates during the surge");
    app.add_option("--surge-start-ms", flags.surgeStartMs, "Start of the surge in ms after the start of the run");
    app.add_option("--surge-end-ms", flags.surgeEndMs, "End of the surge in ms after the start of the run");
    app.add_option("--seed", flags.seed, "Seed of the arrivals");
    app.add_option("--resends", flags.resends, "Resends after a failure");
    app.add_option("--tag-prefix", flags.tagPrefix, "Prefix of all tags; must differ between the callers of one run");
}

void addAddresses(std::vector<HostAddress> &addresses, const std::vector<std::string> &texts)
{
    for (const std::string &text : texts) {
        addresses.emplace_back(text);
    }
}

/** Returns an error text; empty if all flags are valid. */
std::string applyFlags(const Flags &flags, CallerSettings &settings)
{
    for (const std::string &text : flags.classes) {
        const auto loadClass = parseLoadClass(text);
        if (!loadClass) {
            return loadClass.error();
        }
        settings.classes.push_back(*loadClass);
    }
    for (const std::string &text : flags.servers) {
        if (!addServer(settings, text)) {
            return text + " must be service=address";
        }
    }
    addAddresses(settings.targets, flags.targets);
    addAddresses(settings.executions, flags.executions);
    if (flags.direct || flags.baseline) {
        settings.mode = flags.direct ? CallerMode::Direct : CallerMode::Baseline;
    }
    settings.duration = flags.durationMs > 0 ? Millis{flags.durationMs} : settings.duration;
    settings.surgeFactor = flags.surgeFactor > 0 ? flags.surgeFactor : settings.surgeFactor;
    settings.surgeStart = flags.surgeStartMs >= 0 ? Millis{flags.surgeStartMs} : settings.surgeStart;
    settings.surgeEnd = flags.surgeEndMs >= 0 ? Millis{flags.surgeEndMs} : settings.surgeEnd;
    settings.seed = flags.seed > 0 ? flags.seed : settings.seed;
    settings.resends = flags.resends >= 0 ? flags.resends : settings.resends;
    settings.tagPrefix = flags.tagPrefix.empty() ? settings.tagPrefix : flags.tagPrefix;
    return {};
}

tl::expected<CallerSettings, std::string> readSettings(const Flags &flags)
{
    CallerSettings settings;
    if (!flags.file.empty()) {
        std::ostringstream text;
        text << std::ifstream(flags.file).rdbuf();
        const auto parsed = parseCallerSettings(text.str());
        if (!parsed) {
            return tl::unexpected(flags.file + ": " + parsed.error());
        }
        settings = *parsed;
    }
    const std::string error = applyFlags(flags, settings);
    if (!error.empty()) {
        return tl::unexpected(error);
    }
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    Flags flags;
    CLI::App app("Open-loop load generator that resends at once after a failure and checks each response");
    addFlags(app, flags);
    CLI11_PARSE(app, argc, argv);
    const auto settings = readSettings(flags);
    if (!settings) {
        std::cerr << settings.error() << '\n';
        return 1;
    }
    asio::io_context context(1);
    LoadGenerator generator(context, *settings);
    const std::string error = generator.settingsError();
    if (!error.empty()) {
        std::cerr << error << '\n';
        return 1;
    }
    generator.start([&context] { context.stop(); });
    context.run();
    std::cout << generator.report().dump() << '\n';
    return 0;
}
