#include "membership/autotests/simulation.h"

#include <algorithm>
#include <sstream>

namespace Hibiscus
{

namespace
{

std::string textOf(const Rosters &rosters)
{
    std::string text;
    for (const auto &[domain, names] : rosters) {
        text += domain.value();
        for (const ServerName &name : names) {
            text += ' ' + name.value();
        }
        text += '\n';
    }
    return text;
}

Rosters rostersOf(const std::string &text)
{
    Rosters rosters;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string word;
        words >> word;
        std::vector<ServerName> &names = rosters[FailureDomainName(word)];
        while (words >> word) {
            names.emplace_back(word);
        }
    }
    return rosters;
}

} // namespace

Simulation::Simulation(const std::vector<int> &serversPerDomain, std::uint64_t seed, const std::string &prefix)
    : random_(seed)
{
    for (const int servers : serversPerDomain) {
        const FailureDomainName domain("d" + std::to_string(rosters_.size()));
        for (int s = 0; s < servers; ++s) {
            rosters_[domain].emplace_back(prefix + domain.value() + "s" + std::to_string(s));
        }
        seeds_.emplace_back(rosters_[domain].front().value() + ":1");
        seeds_.emplace_back(rosters_[domain].back().value() + ":1");
    }
    writeConfiguration();
    for (const auto &[domain, names] : rosters_) {
        for (const ServerName &name : names) {
            start(name, domain, HostAddress(name.value() + ":1"));
        }
    }
}

std::size_t Simulation::start(const ServerName &name, const FailureDomainName &domain, const HostAddress &address)
{
    const std::size_t index = processes.size();
    auto process = std::make_unique<Process>();
    process->name = name;
    process->domain = domain;
    process->address = address;
    process->clock.global = &time_;
    process->clock.offset = static_cast<double>(random_.below(1000000));
    process->clock.rate = 0.96 + static_cast<double>(random_.below(81)) / 1000;
    process->random = SeededRandom(random_.next());
    const AgentSettings settings{name, domain, ServiceName("svc"), address, Incarnation(random_.next() | 1U), seeds_};
    process->agent = std::make_unique<DomainAgent>(settings, process->clock, process->random);
    processes.push_back(std::move(process));
    current[address.value()] = index;
    scheduleTick(index);
    return index;
}

void Simulation::scheduleTick(std::size_t process)
{
    at(static_cast<double>(80 + random_.below(40)), [this, process] {
        if (!processes[process]->paused) {
            on(process, [](DomainAgent &agent) { return agent.tick(); });
        }
        if (processes[process]->alive && processes[process]->agent->superseded()) {
            exitSuperseded(process);
        }
        if (processes[process]->alive) {
            scheduleTick(process);
        }
    });
}

void Simulation::exitSuperseded(std::size_t process)
{
    restart(process);
}

void Simulation::at(double delay, std::function<void()> action)
{
    queue_.emplace(time_ + delay, std::move(action));
}

void Simulation::run(double millis)
{
    const double end = time_ + millis;
    while (!queue_.empty() && queue_.begin()->first <= end) {
        step();
    }
    time_ = end;
}

void Simulation::step()
{
    const auto first = queue_.begin();
    time_ = first->first;
    const std::function<void()> action = std::move(first->second);
    queue_.erase(first);
    action();
    std::erase_if(watches_, [this](const Watch &watch) {
        if (watch.until <= time_) {
            complete(watch.process, watch.call.id, {PlatformResult::Status::Unchanged, {}, 0});
        }
        return watch.until <= time_;
    });
}

void Simulation::on(std::size_t process, const std::function<Effects(DomainAgent &)> &action)
{
    Process &target = *processes[process];
    if (!target.alive) {
        return;
    }
    if (target.paused) {
        waiting_[process].push_back(action);
        return;
    }
    perform(process, action(*target.agent));
    check(process);
}

void Simulation::check(std::size_t process)
{
    Process &target = *processes[process];
    if (!target.alive) {
        return;
    }
    const ConfigVersion adopted = target.agent->adopted();
    if (adopted < target.highest) {
        violations.push_back(target.name.value() + " went back to an older version");
    }
    target.highest = std::max(target.highest, adopted);
    // A paused process is checked as well: it may go on at any instant.
    if (target.agent->fresh() && adopted < accepted()) {
        violations.push_back(target.name.value() + " serves under " + std::to_string(adopted.value()) + " though "
                             + std::to_string(accepted().value()) + " is accepted");
    }
}

void Simulation::perform(std::size_t from, const Effects &effects)
{
    Process &process = *processes[from];
    for (const InstallConfiguration &install : effects.install) {
        at(static_cast<double>(random_.below(20)), [this, from, install] {
            on(from, [install](DomainAgent &agent) {
                return agent.configurationInstalled(install.version, rostersOf(install.text));
            });
        });
    }
    for (const OutgoingRequest &request : effects.requests) {
        if (onMessage) {
            const auto to = current.find(request.to.value());
            onMessage(process, to == current.end() ? nullptr : processes[to->second].get(), &request.request, nullptr);
        }
        deliver(from, request);
        if (chance(faults.duplicatePercent)) {
            deliver(from, request);
        }
    }
    for (const PlatformCall &platformCall : effects.platformCalls) {
        call(from, platformCall);
    }
    for (const AgentEvent &event : effects.events) {
        process.events.push_back(event.event);
    }
    process.entries.insert(process.entries.end(), effects.receivedEntries.begin(), effects.receivedEntries.end());
}

bool Simulation::reaches(std::size_t from, std::size_t to) const
{
    return processes[from]->island == processes[to]->island && processes[to]->alive;
}

bool Simulation::chance(int percent)
{
    return random_.below(100) < static_cast<std::uint64_t>(percent);
}

double Simulation::delay()
{
    return 0.5 + static_cast<double>(random_.below(1000)) / 1000 * faults.maxDelay;
}

void Simulation::deliver(std::size_t from, const OutgoingRequest &request)
{
    const auto found = current.find(request.to.value());
    if (found == current.end() || !reaches(from, found->second) || chance(faults.lossPercent)) {
        at(delay(),
           [this, from, request] { on(from, [request](DomainAgent &agent) { return agent.failed(request.id); }); });
        return;
    }
    const std::size_t to = found->second;
    at(delay(), [this, from, to, request] {
        on(to, [this, from, to, request](DomainAgent &agent) {
            auto [response, effects] = agent.handle(request.request);
            if (onMessage) {
                onMessage(*processes[to], processes[from].get(), nullptr, &response);
            }
            answer(from, to, request.id, response);
            return std::move(effects);
        });
    });
}

void Simulation::answer(std::size_t from, std::size_t to, RequestId id, const ControlResponse &response)
{
    if (!reaches(to, from) || chance(faults.lossPercent)) {
        return;
    }
    at(delay(), [this, from, id, response] {
        on(from, [id, response](DomainAgent &agent) { return agent.responded(id, response); });
    });
}

void Simulation::call(std::size_t process, const PlatformCall &platformCall)
{
    static const std::map<PlatformCall::Kind, std::string> names{{PlatformCall::Kind::Get, "get "},
                                                                 {PlatformCall::Kind::Create, "write "},
                                                                 {PlatformCall::Kind::Update, "write "},
                                                                 {PlatformCall::Kind::Watch, "watch "}};
    ++platformCalls[names.at(platformCall.kind) + platformCall.key];
    if (faults.platformDown || processes[process]->platformCut) {
        complete(process, platformCall.id, {PlatformResult::Status::Unavailable, {}, 0});
        return;
    }
    at(delay(), [this, process, platformCall] {
        if (platformCall.kind == PlatformCall::Kind::Watch) {
            watches_.push_back({process, platformCall, time_ + platformCall.timeout.value});
            fireWatches();
            return;
        }
        PlatformResult result = apply(platformCall);
        if (chance(faults.lostAnswerPercent)) {
            result = {PlatformResult::Status::Ambiguous, {}, 0};
        }
        complete(process, platformCall.id, std::move(result));
    });
}

void Simulation::complete(std::size_t process, PlatformCallId id, PlatformResult result)
{
    if (processes[process]->platformCut && result.status != PlatformResult::Status::Unavailable) {
        return; // The answer to a call made before the cut is lost.
    }
    at(delay(), [this, process, id, result = std::move(result)] {
        on(process, [id, result](DomainAgent &agent) { return agent.platformCompleted(id, result); });
    });
}

PlatformResult Simulation::apply(const PlatformCall &platformCall)
{
    Object &object = objects_[platformCall.key];
    if (platformCall.kind == PlatformCall::Kind::Get) {
        const bool found = object.version != 0;
        return {found ? PlatformResult::Status::Ok : PlatformResult::Status::NotFound, object.value, object.version};
    }
    const std::uint64_t expected = platformCall.kind == PlatformCall::Kind::Create ? 0 : platformCall.version;
    if (object.version != expected) {
        return {PlatformResult::Status::Conflict, {}, 0};
    }
    object = {platformCall.value, object.version + 1};
    for (const auto &[domain, names] : rosters_) {
        if (platformCall.key == DomainAgent::confirmKey(domain)) {
            const Confirmation confirmation = parseConfirmation(object.value).value_or(Confirmation());
            if (confirmation.version <= confirmed_[domain].version) {
                violations.push_back("confirmation of " + domain.value() + " went back");
            }
            confirmed_[domain] = confirmation;
            noteAccepted();
        }
    }
    return {PlatformResult::Status::Ok, {}, object.version};
}

void Simulation::fireWatches()
{
    std::erase_if(watches_, [this](const Watch &watch) {
        const Object &object = objects_[watch.call.key];
        if (object.version <= watch.call.version) {
            return false;
        }
        complete(watch.process, watch.call.id, {PlatformResult::Status::Ok, object.value, object.version});
        return true;
    });
}

void Simulation::writeConfiguration()
{
    Object &object = objects_[DomainAgent::configurationKey()];
    object = {textOf(rosters_), object.version + 1};
    versions_[ConfigVersion(object.version)] = rosters_;
    fireWatches();
}

void Simulation::operatorChange()
{
    if (!faults.platformDown) {
        writeConfiguration();
    }
}

void Simulation::rosterChange(int domain)
{
    if (faults.platformDown || accepted() < latest()) {
        return;
    }
    const FailureDomainName name("d" + std::to_string(domain));
    std::vector<ServerName> &roster = rosters_[name];
    const ServerName first(name.value() + "s0");
    if (!roster.empty() && roster.front() == first) {
        roster.erase(roster.begin());
    } else {
        roster.insert(roster.begin(), first);
    }
    writeConfiguration();
}

void Simulation::kill(std::size_t process)
{
    processes[process]->alive = false;
    processes[process]->paused = false;
    waiting_.erase(process);
}

void Simulation::restart(std::size_t process)
{
    kill(process);
    const Process &old = *processes[process];
    if (!old.replaced && current.at(old.address.value()) == process) {
        processes[start(old.name, old.domain, old.address)]->island = old.island;
    }
}

void Simulation::pause(std::size_t process)
{
    processes[process]->paused = processes[process]->alive;
}

void Simulation::resume(std::size_t process)
{
    if (!processes[process]->paused) {
        return;
    }
    processes[process]->paused = false;
    check(process);
    const auto actions = std::exchange(waiting_[process], {});
    for (const auto &action : actions) {
        on(process, action);
    }
    if (processes[process]->replaced) {
        at(4000, [this, process] { kill(process); });
    }
}

std::size_t Simulation::replace(std::size_t process)
{
    processes[process]->replaced = true;
    const Process &old = *processes[process];
    const std::size_t next = start(old.name, old.domain, HostAddress(old.address.value() + "1"));
    processes[next]->island = processes[process]->island;
    return next;
}

void Simulation::heal()
{
    faults = {};
    std::map<ServerName, bool> running;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        processes[i]->island = 0;
        processes[i]->platformCut = false;
        resume(i);
        running[processes[i]->name] |= processes[i]->alive && !processes[i]->replaced;
    }
    for (const auto &[name, up] : running) {
        const auto last = std::find_if(processes.rbegin(), processes.rend(),
                                       [&name = name](const auto &process) { return process->name == name; });
        if (!up) {
            start(name, (*last)->domain, (*last)->address);
        }
    }
}

ConfigVersion Simulation::latest() const
{
    return versions_.rbegin()->first;
}

ConfigVersion Simulation::accepted() const
{
    return accepted_;
}

void Simulation::noteAccepted()
{
    for (auto version = versions_.rbegin(); version != versions_.rend(); ++version) {
        std::vector<FailureDomainName> domains;
        std::map<FailureDomainName, ConfigVersion> confirmed;
        for (const auto &[domain, names] : version->second) {
            const auto found = confirmed_.find(domain);
            if (!names.empty()) {
                domains.push_back(domain);
            }
            if (found != confirmed_.end() && (!names.empty() || !found->second.roster.empty())) {
                confirmed[domain] = found->second.version;
            }
        }
        if (isAccepted(version->first, domains, confirmed)) {
            accepted_ = version->first;
            break;
        }
    }
    // All other checks follow an event of the process itself: time alone makes no process fresh.
    for (std::size_t i = 0; i < processes.size(); ++i) {
        check(i);
    }
}

bool Simulation::allCurrent() const
{
    return accepted() == latest() && std::ranges::all_of(processes, [this](const auto &process) {
               return !process->alive || (process->agent->fresh() && process->agent->adopted() == latest());
           });
}

std::size_t Simulation::agents(const FailureDomainName &domain) const
{
    return static_cast<std::size_t>(std::ranges::count_if(processes, [&](const auto &process) {
        return process->alive && process->domain == domain && process->agent->isAgent();
    }));
}

} // namespace Hibiscus
