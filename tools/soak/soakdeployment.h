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

/** Where the programs and the deployment of a run are found. */
struct SoakPlaces {
    std::string programs; ///< Folder of the built programs.
    std::string example; ///< Folder of the deployment: inventory, rules, load, settings of the stand-ins.
    std::string folder; ///< Folder for settings and logs of the run.
    int basePort = 0;
};

/**
 * A deployment as separate processes on one machine, each link to a daemon through a proxy: callers, backend server and
 * store. The links between daemons are direct.
 */
class SoakDeployment
{
public:
    SoakDeployment(asio::io_context &context, SoakPlaces places);

    /** Starts all processes. Returns what failed. */
    tl::expected<void, std::string> start();

    std::size_t hostCount() const;
    std::string program(const std::string &name) const;
    /** Command that puts rules in force; every second one changes them back. */
    std::vector<std::string> nextRules();
    /** Command of a load through all daemons that compares what servers ran. */
    std::vector<std::string> loadCommand(Millis duration, std::uint64_t seed) const;

    void begin(const Fault &fault);
    void end(const Fault &fault);

    /** Starts daemons that have ended after SIGTERM. To be called every 50 ms. */
    void tick();

    /** Ends of daemons that no fault explains. */
    const std::vector<std::string> &unexpectedEnds() const;

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

    tl::expected<void, std::string> plan();
    tl::expected<void, std::string> openProxies();
    tl::expected<void, std::string> writeSettings() const;
    void startDaemon(Host &host);
    void startServer(Host &host);
    void checkDaemon(Host &host);

    asio::io_context &context_;
    SoakPlaces places_;
    std::vector<Host> hosts_;
    std::unique_ptr<FaultProxy> storeProxy_;
    std::unique_ptr<ChildProcess> store_;
    std::vector<std::unique_ptr<ChildProcess>> commands_; ///< Changes of rules.
    int rulesChanges_ = 0;
    std::vector<std::string> unexpectedEnds_;
};

} // namespace Hibiscus

#endif
