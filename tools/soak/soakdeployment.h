#ifndef HIBISCUS_SOAK_SOAKDEPLOYMENT_H
#define HIBISCUS_SOAK_SOAKDEPLOYMENT_H

#include "soak/childprocess.h"
#include "soak/faultplan.h"
#include "soak/faultproxy.h"

#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <tl/expected.hpp>

namespace Hibiscus
{

/** Folders and ports of a run. */
struct SoakSettings {
    std::string programFolder; ///< Folder of the built programs.
    std::string exampleFolder; ///< Folder of the deployment: inventory, rules, load, settings of the stand-ins.
    std::string runFolder; ///< Folder for settings and logs of the run.
    int basePort = 0;
};

/**
 * Runs a deployment as separate processes on one machine. The connections between a daemon and its callers, its backend
 * server and the store pass through a FaultProxy; connections between daemons are direct.
 */
class SoakDeployment
{
public:
    SoakDeployment(asio::io_context &context, SoakSettings settings);

    /** Starts all processes. Returns an error text if a step fails. */
    tl::expected<void, std::string> start();

    std::size_t hostCount() const;
    /** Path of a built program. */
    std::string program(const std::string &name) const;
    /** Command that applies rules; consecutive commands alternate between two versions of them. */
    std::vector<std::string> nextRulesCommand();
    /** Command that sends load through all daemons and compares the responses with the executions of the servers. */
    std::vector<std::string> loadCommand(Millis duration, std::uint64_t seed) const;

    void inject(const Fault &fault);
    void undo(const Fault &fault);

    /** Restarts daemons that have ended without SIGKILL. To be called every 50 ms. */
    void tick();

    /** Descriptions of daemon exits that no injected fault explains. */
    const std::vector<std::string> &unexpectedExits() const;

private:
    struct Host {
        std::string name;
        std::string service;
        std::string callers;
        std::string local;
        std::string backend;
        std::string slots;
        std::string connections;
        std::unique_ptr<FaultProxy> callersProxy;
        std::unique_ptr<FaultProxy> backendProxy;
        std::unique_ptr<ChildProcess> daemon;
        std::unique_ptr<ChildProcess> server;
        bool stopping = false; ///< SIGTERM was sent to the daemon.
    };

    tl::expected<void, std::string> planHosts();
    tl::expected<void, std::string> openProxies();
    tl::expected<void, std::string> writeSettings() const;
    void startDaemon(Host &host);
    void startServer(Host &host);
    /** Records the exit of a daemon if no injected fault explains it. */
    void recordUnexpectedExit(Host &host);

    asio::io_context &context_;
    SoakSettings settings_;
    std::vector<Host> hosts_;
    std::unique_ptr<FaultProxy> storeProxy_;
    std::unique_ptr<ChildProcess> store_;
    std::vector<std::unique_ptr<ChildProcess>> commands_; ///< Commands that change the rules, running or ended.
    int rulesChanges_ = 0;
    std::vector<std::string> unexpectedExits_;
};

} // namespace Hibiscus

#endif
