#include "backend_standin/backendserver.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

using namespace Hibiscus;

namespace
{

/** Exit code of a crash that a request asked for; distinguishes it from other exits of the process. */
constexpr int kCrashExitCode = 70;
/** Time after the end of the last request in which its response is written to the connection. */
constexpr std::chrono::milliseconds kFlushTime(500);

/** Flags that override the settings file; empty or 0 where a flag is not given. */
struct Flags {
    std::string file;
    std::string name;
    std::string service;
    std::string listen;
    std::string localListener;
    int slots = 0;
    std::size_t connections = 0;
    std::uint64_t seed = 0;
    double meanMs = 0;
    double coldStartMs = 0;
};

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void addFlags(CLI::App &app, Flags &flags)
{
    app.add_option("--config", flags.file, "Settings file (JSON with comments)")->check(CLI::ExistingFile);
    app.add_option("--name", flags.name, "Name of the server");
    app.add_option("--service", flags.service, "Service of the server");
    app.add_option("--listen", flags.listen, "IP address and port; port 0 lets the system choose one");
    app.add_option("--local-listener", flags.localListener, "Local listener of the daemon, for downstream calls");
    app.add_option("--slots", flags.slots, "Requests that are executed at the same time");
    app.add_option("--connections", flags.connections, "Largest number of open connections");
    app.add_option("--seed", flags.seed, "Seed of the service times and the silent connections");
    app.add_option("--mean-ms", flags.meanMs, "Mean service time in ms");
    app.add_option("--cold-start-ms", flags.coldStartMs,
                   "Time from the start in ms during which service times are longer");
}

void applyFlags(const Flags &flags, BackendSettings &settings)
{
    settings.name = flags.name.empty() ? settings.name : flags.name;
    settings.service = flags.service.empty() ? settings.service : ServiceName(flags.service);
    settings.listen = flags.listen.empty() ? settings.listen : HostAddress(flags.listen);
    settings.localListener = flags.localListener.empty() ? settings.localListener : HostAddress(flags.localListener);
    settings.slots = flags.slots > 0 ? flags.slots : settings.slots;
    settings.connections = flags.connections > 0 ? flags.connections : settings.connections;
    settings.seed = flags.seed > 0 ? flags.seed : settings.seed;
    settings.serviceTime.mean = flags.meanMs > 0 ? Millis{flags.meanMs} : settings.serviceTime.mean;
    settings.coldStart = flags.coldStartMs > 0 ? Millis{flags.coldStartMs} : settings.coldStart;
}

int serve(const BackendSettings &settings)
{
    asio::io_context context(1);
    BackendServer server(context, settings, [] { std::_Exit(kCrashExitCode); });
    const auto bound = server.open();
    if (!bound) {
        std::cerr << bound.error() << '\n';
        return 1;
    }
    std::cout << "listening on " << bound->value() << std::endl;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    asio::steady_timer flushTimer(context);
    signals.async_wait([&](const asio::error_code &error, int) {
        if (!error) {
            server.drain([&] {
                flushTimer.expires_after(kFlushTime);
                flushTimer.async_wait([&context](const asio::error_code &) { context.stop(); });
            });
        }
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Flags flags;
    CLI::App app("Stand-in for a backend server");
    addFlags(app, flags);
    CLI11_PARSE(app, argc, argv);
    BackendSettings settings;
    if (!flags.file.empty()) {
        const auto parsed = parseBackendSettings(readFile(flags.file));
        if (!parsed) {
            std::cerr << flags.file << ": " << parsed.error() << '\n';
            return 1;
        }
        settings = *parsed;
    }
    applyFlags(flags, settings);
    return serve(settings);
}
