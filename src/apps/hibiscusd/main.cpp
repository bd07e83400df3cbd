#include "config/daemonsettings.h"
#include "core/logevent.h"
#include "core/logoutput.h"
#include "daemon/daemon.h"
#include "mesh/meshdaemon.h"
#include "platformprotocols.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>
#include <malloc.h>

namespace
{

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitStartFailed = 4;
constexpr int kExitSuperseded = 5;
constexpr std::chrono::milliseconds kPollInterval{50};
/** Time for which the process stays after its last request, so that outcome queries find its stored responses. */
constexpr std::chrono::milliseconds kOutcomeLinger{5000};

/** From this size on, memory that is freed goes back to the system at once. Without a fixed threshold the allocator
 * raises it with the size of the bodies, and holes in its heap keep the process at a multiple of what it holds. */
constexpr int kMappedBytes = 128 * 1024;

volatile std::sig_atomic_t stopSignals = 0;

void countStopSignal(int /*signal*/)
{
    stopSignals = stopSignals + 1;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        std::exit(kExitBadSettings);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Hibiscus::DaemonSettings loadSettings(const std::string &text, const std::string &path)
{
    auto settings = Hibiscus::parseDaemonSettings(text, path);
    if (!settings) {
        std::cerr << Hibiscus::formatConfigErrors(settings.error()) << '\n';
        std::exit(kExitBadSettings);
    }
    return *settings;
}

int runMesh(const char *program, const std::string &text, const std::string &path, bool checkOnly)
{
    const auto settings = Hibiscus::parseMeshSettings(text, path);
    if (!settings) {
        std::cerr << Hibiscus::formatConfigErrors(settings.error()) << '\n';
        return kExitBadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return kExitOk;
    }
    ::mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    Hibiscus::startLogging(program, {});
    Hibiscus::MeshDaemon daemon(*settings, Hibiscus::makePlatformProtocols(*settings));
    if (const auto started = daemon.start(); !started) {
        std::cerr << started.error() << '\n';
        return kExitStartFailed;
    }
    daemon.run();
    return kExitOk;
}

/** Drains until no request has been in progress for kOutcomeLinger; a second stop signal ends the wait. */
void drainUntilIdle(Hibiscus::Daemon &daemon)
{
    daemon.drain();
    auto idleSince = std::chrono::steady_clock::now();
    while (stopSignals < 2 && std::chrono::steady_clock::now() - idleSince < kOutcomeLinger) {
        if (daemon.inFlight() > 0) {
            idleSince = std::chrono::steady_clock::now();
        }
        std::this_thread::sleep_for(kPollInterval);
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"hibiscusd: carries calls between callers and backend servers under overload control"};
    app.set_version_flag("--version", "hibiscusd " HIBISCUS_VERSION);
    std::string settingsFile;
    bool checkOnly = false;
    app.add_option("settings,--settings", settingsFile, "Settings file (JSON with comments)");
    app.add_option_function<std::string>(
        "--check-config",
        [&](const std::string &path) {
            settingsFile = path;
            checkOnly = true;
        },
        "Check a settings file and exit");
    CLI11_PARSE(app, argc, argv);
    if (settingsFile.empty()) {
        std::cerr << "no settings file given; see --help\n";
        return kExitBadSettings;
    }

    const std::string text = readFile(settingsFile);
    if (Hibiscus::isMeshSettings(text)) {
        return runMesh(argv[0], text, settingsFile, checkOnly);
    }
    const Hibiscus::DaemonSettings settings = loadSettings(text, settingsFile);
    if (checkOnly) {
        std::cout << settingsFile << ": ok\n";
        return kExitOk;
    }
    Hibiscus::startLogging(argv[0], settings.logDirectory);
    std::signal(SIGPIPE, SIG_IGN);
    // Settings are read only at startup; the default action of SIGHUP would terminate the process.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGTERM, countStopSignal);
    std::signal(SIGINT, countStopSignal);

    Hibiscus::Daemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        std::cerr << started.error() << '\n';
        daemon.stop();
        return kExitStartFailed;
    }
    while (stopSignals == 0 && !daemon.superseded()) {
        std::this_thread::sleep_for(kPollInterval);
    }
    const bool superseded = daemon.superseded();
    if (superseded) {
        Hibiscus::logEvent(Hibiscus::LogEvent::DaemonSuperseded, settings.server.value());
    }
    drainUntilIdle(daemon);
    daemon.stop();
    return superseded ? kExitSuperseded : kExitOk;
}
