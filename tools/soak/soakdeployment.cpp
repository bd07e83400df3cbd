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

/** Distance of a proxy's port from the port that it leads to. */
constexpr int kProxyPorts = 1000;
constexpr int kRulesTimeoutSeconds = 20;

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/** Address of the proxy in front of @p address. */
std::string proxyOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return address.substr(0, colon + 1) + std::to_string(std::stoi(address.substr(colon + 1)) + kProxyPorts);
}

} // namespace

SoakDeployment::SoakDeployment(asio::io_context &context, SoakPlaces places)
    : context_(context)
    , places_(std::move(places))
{
}

std::string SoakDeployment::program(const std::string &name) const
{
    return places_.programs + "/" + name;
}

std::size_t SoakDeployment::hostCount() const
{
    return hosts_.size();
}

tl::expected<void, std::string> SoakDeployment::start()
{
    for (const auto &step : {&SoakDeployment::plan, &SoakDeployment::openProxies}) {
        if (auto done = (this->*step)(); !done) {
            return done;
        }
    }
    if (auto written = writeSettings(); !written) {
        return written;
    }
    const std::string store = fmt::format("127.0.0.1:{}", places_.basePort - 1);
    store_ = std::make_unique<ChildProcess>(std::vector{program("platform_standin"), std::string("--listen"), store},
                                            places_.folder + "/store.log");
    for (Host &host : hosts_) {
        startServer(host);
        startDaemon(host);
    }
    return {};
}

tl::expected<void, std::string> SoakDeployment::plan()
{
    std::filesystem::create_directories(places_.folder);
    const std::string store = proxyOf(fmt::format("127.0.0.1:{}", places_.basePort - 1));
    ChildProcess planner({program("deployment_settings"), places_.example + "/inventory.json", places_.folder,
                          "--platform", store, "--base-port", std::to_string(places_.basePort)},
                         places_.folder + "/plan.log");
    while (!planner.status()) {
        ::usleep(1000);
    }
    std::ifstream table(places_.folder + "/hosts.txt");
    Host host;
    std::string domain;
    std::string peers;
    while (table >> host.name >> host.service >> domain >> host.callers >> host.local >> peers >> host.backend
           >> host.slots >> host.connections) {
        hosts_.push_back(std::move(host));
        host = {};
    }
    if (hosts_.empty()) {
        return tl::unexpected("no hosts were planned; see " + places_.folder + "/plan.log");
    }
    return {};
}

tl::expected<void, std::string> SoakDeployment::openProxies()
{
    const auto open = [this](std::unique_ptr<FaultProxy> &proxy, const std::string &target) {
        proxy = std::make_unique<FaultProxy>(context_, HostAddress(proxyOf(target)), HostAddress(target));
        return proxy->open();
    };
    if (auto opened = open(storeProxy_, fmt::format("127.0.0.1:{}", places_.basePort - 1)); !opened) {
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
        const std::string settingsFile = places_.folder + "/" + host.name + ".json";
        nlohmann::json daemon = nlohmann::json::parse(readFile(settingsFile), nullptr, false, true);
        nlohmann::json server = nlohmann::json::parse(readFile(places_.example + "/backends/" + host.service + ".json"),
                                                      nullptr, false, true);
        if (!daemon.is_object() || !server.is_object()) {
            return tl::unexpected("the settings of " + host.name + " can't be read");
        }
        daemon["backend"] = proxyOf(host.backend);
        std::ofstream(settingsFile) << daemon.dump(2);
        // What a server ran must be known after it was killed.
        server["execution_file"] = places_.folder + "/" + host.name + ".executions";
        server["log_repeatable"] = true;
        std::ofstream(places_.folder + "/" + host.name + ".backend.json") << server.dump(2);
    }
    return {};
}

void SoakDeployment::startDaemon(Host &host)
{
    const std::string base = places_.folder + "/" + host.name;
    host.daemon = std::make_unique<ChildProcess>(std::vector{program("hibiscusd"), base + ".json"}, base + ".log");
    host.stopping = false;
}

void SoakDeployment::startServer(Host &host)
{
    const std::string base = places_.folder + "/" + host.name;
    host.server = std::make_unique<ChildProcess>(
        std::vector{program("backend_standin"), std::string("--config"), base + ".backend.json", std::string("--name"),
                    host.name, std::string("--service"), host.service, std::string("--listen"), host.backend,
                    std::string("--local-listener"), host.local, std::string("--slots"), host.slots,
                    std::string("--connections"), host.connections},
        base + ".backend.log");
}

std::vector<std::string> SoakDeployment::nextRules()
{
    const std::string file = places_.folder + "/rules.json";
    std::string rules = readFile(places_.example + "/rules.json");
    const std::string usual = "\"deadline\": \"2 s\"";
    if (const std::size_t place = rules.find(usual); ++rulesChanges_ % 2 == 0 && place != std::string::npos) {
        rules.replace(place, usual.size(), "\"deadline\": \"3 s\"");
    }
    std::ofstream(file) << rules;
    return {program("hibiscusctl"),
            "apply",
            places_.example + "/inventory.json",
            file,
            "--platform",
            proxyOf(fmt::format("127.0.0.1:{}", places_.basePort - 1)),
            "--author",
            "soak",
            "--timeout",
            std::to_string(kRulesTimeoutSeconds)};
}

std::vector<std::string> SoakDeployment::loadCommand(Millis duration, std::uint64_t seed) const
{
    std::vector<std::string> command{program("caller"),
                                     "--config",
                                     places_.example + "/load.json",
                                     "--duration-ms",
                                     fmt::format("{}", duration.value),
                                     "--seed",
                                     std::to_string(seed),
                                     "--tag-prefix",
                                     fmt::format("s{}-", seed),
                                     "--target"};
    for (const Host &host : hosts_) {
        command.push_back(proxyOf(host.callers));
    }
    command.emplace_back("--executions");
    for (const Host &host : hosts_) {
        command.push_back(host.backend);
    }
    return command;
}

void SoakDeployment::begin(const Fault &fault)
{
    Host &host = hosts_.at(fault.host);
    switch (fault.kind) {
    case FaultKind::KillDaemon:
        checkDaemon(host);
        return host.daemon->kill();
    case FaultKind::StopDaemon:
        checkDaemon(host);
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
    case FaultKind::LoseAnswersOfServer:
        return host.backendProxy->setState(LinkState::AnswersLost);
    case FaultKind::RefuseStore:
        return storeProxy_->setState(LinkState::Refused);
    case FaultKind::DelayStore:
        return storeProxy_->setState(LinkState::Delayed);
    case FaultKind::SilenceStore:
        return storeProxy_->setState(LinkState::Silent);
    case FaultKind::LoseAnswersOfStore:
        return storeProxy_->setState(LinkState::AnswersLost);
    case FaultKind::ChangeRules:
        commands_.push_back(std::make_unique<ChildProcess>(nextRules(), places_.folder + "/rules.log"));
        return;
    }
}

void SoakDeployment::end(const Fault &fault)
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
        return host.callersProxy->setState(LinkState::Sound);
    case FaultKind::DelayServer:
    case FaultKind::LoseAnswersOfServer:
        return host.backendProxy->setState(LinkState::Sound);
    case FaultKind::RefuseStore:
    case FaultKind::DelayStore:
    case FaultKind::SilenceStore:
    case FaultKind::LoseAnswersOfStore:
        return storeProxy_->setState(LinkState::Sound);
    case FaultKind::StopDaemon:
    case FaultKind::HangUpDaemon:
    case FaultKind::ResetCallers:
    case FaultKind::ResetServer:
    case FaultKind::ChangeRules:
        return;
    }
}

/** Notes an end that no signal of this run explains. */
void SoakDeployment::checkDaemon(Host &host)
{
    const std::optional<int> status = host.daemon->status();
    if (!status) {
        return;
    }
    const bool wasKilled = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
    const bool hasStopped = host.stopping && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    if (!wasKilled && !hasStopped) {
        unexpectedEnds_.push_back(fmt::format("daemon of {} ended with wait status {}", host.name, *status));
    }
}

void SoakDeployment::tick()
{
    for (Host &host : hosts_) {
        const std::optional<int> status = host.daemon->status();
        const bool isDown = status && WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
        if (status && !isDown) {
            checkDaemon(host);
            startDaemon(host);
        }
    }
}

const std::vector<std::string> &SoakDeployment::unexpectedEnds() const
{
    return unexpectedEnds_;
}

} // namespace Hibiscus
