#include "bench/controlmodel.h"

#include "bench/processorclock.h"
#include "rpc/controlcodec.h"
#include "rpc/rpctext.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr int kSeedsPerDomain = 3;
constexpr double kTickMillis = DomainAgent::kTickInterval.value;
/** One-way delay between two processes or to the platform; of the order of the deployments of the design page. */
constexpr double kDelayMillis = 1.5;

std::optional<Rosters> parseRosters(const std::string &text)
{
    const auto configuration = parseConfiguration(text);
    if (!configuration) {
        return std::nullopt;
    }
    Rosters rosters;
    for (const FailureDomainEntry &domain : configuration->inventory.domains) {
        rosters[domain.name] = rosterOf(configuration->inventory, domain.name);
    }
    return rosters;
}

} // namespace

ControlModel::ControlModel(const FleetSize &size, const MessageOverhead &overhead, std::uint64_t seed)
    : size_(size)
    , overhead_(overhead)
    , random_(seed)
{
    const Configuration configuration = sampleConfiguration(size, ConfigVersion(1));
    std::map<FailureDomainName, int> seeds;
    for (const BackendServerEntry &server : configuration.inventory.servers) {
        auto member = std::make_unique<Member>();
        member->index = members.size();
        member->name = server.name;
        member->service = server.service;
        member->domain = server.domain;
        member->address = HostAddress("10.20." + std::to_string(100 + member->index / 100) + "."
                                      + std::to_string(100 + member->index % 100) + ":20002");
        member->clock.global = &time_;
        byAddress_[member->address.value()] = member->index;
        if (seeds[server.domain]++ < kSeedsPerDomain) {
            seeds_.push_back(member->address);
        }
        members.push_back(std::move(member));
    }
    changeConfiguration();
}

ControlModel::~ControlModel() = default;

void ControlModel::start(std::size_t index)
{
    Member &member = *members[index];
    ++member.generation;
    member.alive = true;
    member.cost = {};
    member.random = SeededRandom(random_.next());
    member.agent =
        std::make_unique<DomainAgent>(AgentSettings{member.name, member.domain, member.service, member.address,
                                                    Incarnation(random_.next() | 1U), seeds_},
                                      member.clock, member.random);
    member.server = std::make_unique<ControlServer>(member.connector, member);
    at(static_cast<double>(random_.below(100)), member, [this](Member &self) { scheduleTick(self); });
}

void ControlModel::stop(std::size_t index)
{
    Member &member = *members[index];
    ++member.generation;
    member.alive = false;
    member.server.reset();
    member.agent.reset();
}

void ControlModel::at(double delay, Member &member, std::function<void(Member &)> action)
{
    queue_.emplace(time_ + delay, Event{member.index, member.generation, std::move(action)});
}

void ControlModel::scheduleTick(Member &member)
{
    Effects effects;
    {
        const ProcessorClock clock(member.cost.processorMicros);
        effects = member.agent->tick();
    }
    perform(member, std::move(effects));
    at(kTickMillis, member, [this](Member &self) { scheduleTick(self); });
}

void ControlModel::run(double millis)
{
    const double end = time_ + millis;
    while (!queue_.empty() && queue_.begin()->first <= end) {
        const auto first = queue_.begin();
        time_ = first->first;
        const Event event = std::move(first->second);
        queue_.erase(first);
        if (time_ >= nextExpiry_) {
            nextExpiry_ = time_ + kTickMillis;
            platform.expireWatches(time_);
        }
        Member &member = *members[event.member];
        if (member.alive && member.generation == event.generation) {
            event.action(member);
        }
    }
    time_ = end;
}

double ControlModel::delay()
{
    return kDelayMillis * (0.5 + static_cast<double>(random_.below(1000)) / 1000);
}

double ControlModel::wireBytes(std::size_t text, double overhead) const
{
    const double size = static_cast<double>(text);
    return size + overhead + std::floor(size / overhead_.segmentPayload) * overhead_.segmentHeader;
}

void ControlModel::perform(Member &member, Effects effects)
{
    for (const OutgoingRequest &request : effects.requests) {
        send(member, request);
    }
    for (const PlatformCall &platformCall : effects.platformCalls) {
        call(member, platformCall);
    }
    for (const InstallConfiguration &request : effects.install) {
        install(member, request);
    }
}

void ControlModel::install(Member &member, const InstallConfiguration &request)
{
    Effects effects;
    {
        const ProcessorClock clock(member.cost.processorMicros);
        const auto rosters = parseRosters(request.text);
        effects = rosters ? member.agent->configurationInstalled(request.version, *rosters)
                          : member.agent->configurationRefused(request.version);
    }
    perform(member, std::move(effects));
}

void ControlModel::send(Member &from, const OutgoingRequest &request)
{
    const std::string kind(methodOf(request.request));
    std::string body;
    {
        const ProcessorClock clock(from.cost.processorMicros);
        body = requestText(1, request.request);
    }
    const double bytes = wireBytes(body.size(), overhead_.request);
    const auto found = byAddress_.find(request.to.value());
    Member *to = found == byAddress_.end() ? nullptr : members[found->second].get();
    if (to == nullptr || !to->alive || to->island != from.island) {
        at(delay(), from, [this, id = request.id](Member &self) { perform(self, self.agent->failed(id)); });
        return;
    }
    from.cost.bytesSent += bytes;
    from.cost.messagesSent += 1;
    from.cost.bytesByKind[kind] += bytes;
    from.cost.pollsSent += std::holds_alternative<Poll>(request.request) ? 1 : 0;
    at(delay(), *to,
       [this, index = from.index, generation = from.generation, id = request.id, kind,
        body = std::move(body)](Member &self) { deliver(self, index, generation, id, kind, body); });
}

void ControlModel::deliver(Member &to, std::size_t from, std::uint64_t generation, RequestId id,
                           const std::string &kind, const std::string &body)
{
    to.cost.bytesReceived += wireBytes(body.size(), overhead_.request);
    to.cost.messagesReceived += 1;
    std::string text;
    {
        const ProcessorClock clock(to.cost.processorMicros);
        text = to.connector.process(body);
    }
    const double bytes = wireBytes(text.size(), overhead_.response);
    to.cost.bytesSent += bytes;
    to.cost.messagesSent += 1;
    to.cost.bytesByKind[kind] += bytes;
    perform(to, std::exchange(to.handled, {}));
    Member &sender = *members[from];
    if (!sender.alive || sender.generation != generation || sender.island != to.island) {
        return;
    }
    at(delay(), sender, [this, id, kind, bytes, text = std::move(text)](Member &self) {
        self.cost.bytesReceived += bytes;
        self.cost.messagesReceived += 1;
        Effects effects;
        {
            const ProcessorClock clock(self.cost.processorMicros);
            const auto response = readResponse(text, 1, kind);
            effects = response ? self.agent->responded(id, *response) : self.agent->failed(id);
        }
        perform(self, std::move(effects));
    });
}

void ControlModel::call(Member &member, const PlatformCall &platformCall)
{
    const auto reply = [this, index = member.index, generation = member.generation,
                        id = platformCall.id](PlatformResult result) {
        Member &self = *members[index];
        if (self.alive && self.generation == generation) {
            at(delay(), self, [this, id, result = std::move(result)](Member &target) {
                Effects effects;
                {
                    const ProcessorClock clock(target.cost.processorMicros);
                    effects = target.agent->platformCompleted(id, result);
                }
                perform(target, std::move(effects));
            });
        }
    };
    if (member.platformCut) {
        reply({PlatformResult::Status::Unavailable, {}, 0});
        return;
    }
    platform.call(platformCall, time_, reply);
}

void ControlModel::changeConfiguration()
{
    ++version_;
    const std::string text = serializeConfiguration(sampleConfiguration(size_, ConfigVersion(version_)));
    configurationBytes_ = text.size();
    platform.write(DomainAgent::configurationKey(), text);
}

void ControlModel::setHeadroom(std::size_t index, int headroom)
{
    Member &member = *members[index];
    if (member.alive) {
        perform(member, member.agent->setLocalState(false, headroom));
    }
}

void ControlModel::publish(std::size_t index, const PayloadEntry &entry)
{
    Member &member = *members[index];
    if (member.alive) {
        perform(member, member.agent->publish(entry));
    }
}

double ControlModel::now() const
{
    return time_;
}

ConfigVersion ControlModel::latest() const
{
    return ConfigVersion(version_);
}

std::size_t ControlModel::configurationBytes() const
{
    return configurationBytes_;
}

std::size_t ControlModel::alive() const
{
    return static_cast<std::size_t>(std::ranges::count_if(members, [](const auto &member) { return member->alive; }));
}

std::size_t ControlModel::current() const
{
    return static_cast<std::size_t>(std::ranges::count_if(members, [this](const auto &member) {
        return member->alive && member->agent->fresh() && member->agent->adopted() == latest();
    }));
}

std::size_t ControlModel::fresh() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(members, [](const auto &member) { return member->alive && member->agent->fresh(); }));
}

std::size_t ControlModel::confirmed() const
{
    std::map<FailureDomainName, bool> domains;
    for (const auto &member : members) {
        domains.emplace(member->domain, false);
    }
    return static_cast<std::size_t>(std::ranges::count_if(domains, [this](const auto &item) {
        return DomainAgent::confirmedVersion(platform.read(DomainAgent::confirmKey(item.first))) == latest();
    }));
}

} // namespace Hibiscus
