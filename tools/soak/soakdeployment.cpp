#include "soak/soakdeployment.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>

namespace Hibiscus
{

namespace
{

/** Difference between the port of a proxy and the port of its target. */
constexpr int kProxyPortOffset = 1000;
constexpr int kRulesTimeoutSeconds = 20;

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/** Address of the proxy in front of @p address. */
std::string proxyAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return address.substr(0, colon + 1) + std::to_string(std::stoi(address.substr(colon + 1)) + kProxyPortOffset);
}

} // namespace

SoakDeployment::SoakDeployment(asio::io_context &context, SoakSettings settings)
    : context_(context)
    , settings_(std::move(settings))
{
}

std::string SoakDeployment::program(const std::string &name) const
{
    return settings_.programFolder + "/" + name;
}

std::size_t SoakDeployment::hostCount() const
{
    return hosts_.size();
}

tl::expected<void, std::string> SoakDeployment::start()
{
    for (const auto &step : {&SoakDeployment::planHosts, &SoakDeployment::openProxies}) {
        if (auto done = (this->*step)(); !done) {
            return done;
        }
    }
    if (auto written = writeSettings(); !written) {
        return written;
    }
    const std::string store = fmt::format("127.0.0.1:{}", settings_.basePort - 1);
    store_ = std::make_unique<ChildProcess>(std::vector{program("platform_standin"), std::string("--listen"), store},
                                            settings_.runFolder + "/store.log");
    for (Host &host : hosts_) {
        startServer(host);
        startDaemon(host);
    }
    return {};
}

tl::expected<void, std::string> SoakDeployment::planHosts()
{
    std::filesystem::create_directories(settings_.runFolder);
    const std::string store = proxyAddress(fmt::format("127.0.0.1:{}", settings_.basePort - 1));
    ChildProcess planner({program("deployment_settings"), settings_.exampleFolder + "/inventory.json",
                          settings_.runFolder, "--platform", store, "--base-port", std::to_string(settings_.basePort)},
                         settings_.runFolder + "/plan.log");
    while (!planner.status()) {
        ::usleep(1000);
    }
    std::ifstream table(settings_.runFolder + "/hosts.txt");
    Host host;
    std::string domain;
    std::string peers;
    while (table >> host.name >> host.service >> domain >> host.callers >> host.local >> peers >> host.backend
           >> host.slots >> host.connections) {
        hosts_.push_back(std::move(host));
        host = {};
    }
    if (hosts_.empty()) {
        return tl::unexpected("deployment_settings wrote no hosts; see " + settings_.runFolder + "/plan.log");
    }
    return {};
}

tl::expected<void, std::string> SoakDeployment::openProxies()
{
    const auto open = [this](std::unique_ptr<FaultProxy> &proxy, const std::string &target) {
        proxy = std::make_unique<FaultProxy>(context_, HostAddress(proxyAddress(target)), HostAddress(target));
        return proxy->open();
    };
    if (auto opened = open(storeProxy_, fmt::format("127.0.0.1:{}", settings_.basePort - 1)); !opened) {
        return opened;
    }
    for (Host &host : hosts_) {
        if (auto opened = open(host.callersProxy, host.callers); !opened) {
            return opened;
        }
        if (auto opened = open(host.backendProxy, host.backend); !opened) {
            return opened;
        }
    }
    return {};
}

tl::expected<void, std::string> SoakDeployment::writeSettings() const
{
    for (const Host &host : hosts_) {
        const std::string settingsFile = settings_.runFolder + "/" + host.name + ".json";
        nlohmann::json daemon = nlohmann::json::parse(readFile(settingsFile), nullptr, false, true);
        nlohmann::json server = nlohmann::json::parse(
            readFile(settings_.exampleFolder + "/backends/" + host.service + ".json"), nullptr, false, true);
        if (!daemon.is_object() || !server.is_object()) {
            return tl::unexpected("the settings of " + host.name + " can't be read");
        }
        daemon["backend"] = proxyAddress(host.backend);
        std::ofstream(settingsFile) << daemon.dump(2);
        // The executions of a server must be known even after SIGKILL.
        server["execution_file"] = settings_.runFolder + "/" + host.name + ".executions";
        server["log_repeatable"] = true;
        std::ofstream(settings_.runFolder + "/" + host.name + ".backend.json") << server.dump(2);
    }
    return {};
}

void SoakDeployment::startDaemon(Host &host)
{
    const std::string base = settings_.runFolder + "/" + host.name;
    host.daemon = std::make_unique<ChildProcess>(std::vector{program("hibiscusd"), base + ".json"}, base + ".log");
    host.stopping = false;
}

void SoakDeployment::startServer(Host &host)
{
    const std::string base = settings_.runFolder + "/" + host.name;
    host.server = std::make_unique<ChildProcess>(
        std::vector{program("backend_standin"), std::string("--config"), base + ".backend.json", std::string("--name"),
                    host.name, std::string("--service"), host.service, std::string("--listen"), host.backend,
                    std::string("--local-listener"), host.local, std::string("--slots"), host.slots,
                    std::string("--connections"), host.connections},
        base + ".backend.log");
}

std::vector<std::string> SoakDeployment::nextRulesCommand()
{
    const std::string file = settings_.runFolder + "/rules.json";
    std::string rules = readFile(settings_.exampleFolder + "/rules.json");
    const std::string originalDeadline = "\"deadline\": \"2 s\"";
    if (const std::size_t position = rules.find(originalDeadline);
        ++rulesChanges_ % 2 == 0 && position != std::string::npos) {
        rules.replace(position, originalDeadline.size(), "\"deadline\": \"3 s\"");
    }
    std::ofstream(file) << rules;
    return {program("hibiscusctl"),
            "apply",
            settings_.exampleFolder + "/inventory.json",
            file,
            "--platform",
            proxyAddress(fmt::format("127.0.0.1:{}", settings_.basePort - 1)),
            "--author",
            "soak",
            "--timeout",
            std::to_string(kRulesTimeoutSeconds)};
}

std::vector<std::string> SoakDeployment::loadCommand(Millis duration, std::uint64_t seed) const
{
    std::vector<std::string> command{program("caller"),
                                     "--config",
                                     settings_.exampleFolder + "/load.json",
                                     "--duration-ms",
                                     fmt::format("{}", duration.value),
                                     "--seed",
                                     std::to_string(seed),
                                     "--tag-prefix",
                                     fmt::format("s{}-", seed),
                                     "--target"};
    for (const Host &host : hosts_) {
        command.push_back(proxyAddress(host.callers));
    }
    command.emplace_back("--executions");
    for (const Host &host : hosts_) {
        command.push_back(host.backend);
    }
    return command;
}

void SoakDeployment::inject(const Fault &fault)
{
    Host &host = hosts_.at(fault.host);
    switch (fault.kind) {
    case FaultKind::KillDaemon:
        recordUnexpectedExit(host);
        return host.daemon->kill();
    case FaultKind::StopDaemon:
        recordUnexpectedExit(host);
        host.stopping = true;
        return host.daemon->signal(SIGTERM);
    case FaultKind::HangUpDaemon:
        return host.daemon->signal(SIGHUP);
    case FaultKind::PauseDaemon:
        return host.daemon->signal(SIGSTOP);
    case FaultKind::KillServer:
        return host.server->kill();
    case FaultKind::PauseServer:
        return host.server->signal(SIGSTOP);
    case FaultKind::ResetCallers:
        return host.callersProxy->resetConnections();
    case FaultKind::DelayCallers:
        return host.callersProxy->setState(LinkState::Delayed);
    case FaultKind::SilenceCallers:
        return host.callersProxy->setState(LinkState::Silent);
    case FaultKind::ResetServer:
        return host.backendProxy->resetConnections();
    case FaultKind::DelayServer:
        return host.backendProxy->setState(LinkState::Delayed);
    case FaultKind::LoseServerResponses:
        return host.backendProxy->setState(LinkState::ResponsesLost);
    case FaultKind::RefuseStore:
        return storeProxy_->setState(LinkState::Refused);
    case FaultKind::DelayStore:
        return storeProxy_->setState(LinkState::Delayed);
    case FaultKind::SilenceStore:
        return storeProxy_->setState(LinkState::Silent);
    case FaultKind::LoseStoreResponses:
        return storeProxy_->setState(LinkState::ResponsesLost);
    case FaultKind::ChangeRules:
        commands_.push_back(std::make_unique<ChildProcess>(nextRulesCommand(), settings_.runFolder + "/rules.log"));
        return;
    }
}

void SoakDeployment::undo(const Fault &fault)
{
    Host &host = hosts_.at(fault.host);
    switch (fault.kind) {
    case FaultKind::KillDaemon:
        host.daemon->kill();
        return startDaemon(host);
    case FaultKind::PauseDaemon:
        return host.daemon->signal(SIGCONT);
    case FaultKind::KillServer:
        host.server->kill();
        return startServer(host);
    case FaultKind::PauseServer:
        return host.server->signal(SIGCONT);
    case FaultKind::DelayCallers:
    case FaultKind::SilenceCallers:
        return host.callersProxy->setState(LinkState::Normal);
    case FaultKind::DelayServer:
    case FaultKind::LoseServerResponses:
        return host.backendProxy->setState(LinkState::Normal);
    case FaultKind::RefuseStore:
    case FaultKind::DelayStore:
    case FaultKind::SilenceStore:
    case FaultKind::LoseStoreResponses:
        return storeProxy_->setState(LinkState::Normal);
    case FaultKind::StopDaemon:
    case FaultKind::HangUpDaemon:
    case FaultKind::ResetCallers:
    case FaultKind::ResetServer:
    case FaultKind::ChangeRules:
        return;
    }
}

void SoakDeployment::recordUnexpectedExit(Host &host)
{
    const std::optional<int> status = host.daemon->status();
    if (!status) {
        return;
    }
    const bool wasKilled = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
    const bool hasStoppedOnRequest = host.stopping && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    if (!wasKilled && !hasStoppedOnRequest) {
        unexpectedExits_.push_back(fmt::format("daemon of {} ended with wait status {}", host.name, *status));
    }
}

void SoakDeployment::tick()
{
    for (Host &host : hosts_) {
        const std::optional<int> status = host.daemon->status();
        // A daemon that was killed stays down until the end of its fault.
        const bool wasKilled = status && WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
        if (status && !wasKilled) {
            recordUnexpectedExit(host);
            startDaemon(host);
        }
    }
}

const std::vector<std::string> &SoakDeployment::unexpectedExits() const
{
    return unexpectedExits_;
}

} // namespace Hibiscus
