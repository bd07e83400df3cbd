#include "membership/domainagent.h"

#include "membership/domainagentstate.h"
#include "membership/platformlink.h"

namespace Hibiscus
{

DomainAgent::DomainAgent(AgentSettings settings, const Clock &clock, RandomSource &random)
    : state_(std::make_unique<State>(std::move(settings), clock, random))
{
}

DomainAgent::~DomainAgent() = default;

Effects DomainAgent::tick()
{
    state_->enter();
    state_->tick();
    return state_->takeEffects();
}

std::pair<ControlResponse, Effects> DomainAgent::handle(const ControlRequest &request)
{
    state_->enter();
    ControlResponse response = state_->handle(request);
    return {std::move(response), state_->takeEffects()};
}

Effects DomainAgent::responded(RequestId id, const ControlResponse &response)
{
    state_->enter();
    state_->responded(id, response);
    return state_->takeEffects();
}

Effects DomainAgent::failed(RequestId id)
{
    state_->enter();
    state_->failed(id);
    return state_->takeEffects();
}

Effects DomainAgent::platformCompleted(PlatformCallId id, const PlatformResult &result)
{
    state_->enter();
    state_->platformCompleted(id, result);
    return state_->takeEffects();
}

Effects DomainAgent::configurationInstalled(ConfigVersion version, const Rosters &rosters)
{
    state_->enter();
    state_->configurationInstalled(version, rosters);
    return state_->takeEffects();
}

Effects DomainAgent::configurationRefused(ConfigVersion version)
{
    state_->enter();
    state_->configurationRefused(version);
    return state_->takeEffects();
}

Effects DomainAgent::setLocalState(bool draining, int headroom)
{
    state_->enter();
    state_->setLocalState(draining, headroom);
    return state_->takeEffects();
}

Effects DomainAgent::publish(const PayloadEntry &entry)
{
    state_->enter();
    state_->publish(entry);
    return state_->takeEffects();
}

bool DomainAgent::fresh() const
{
    return state_->lease_.valid(state_->now());
}

Millis DomainAgent::leaseRemaining() const
{
    return state_->lease_.remaining(state_->now());
}

ConfigVersion DomainAgent::adopted() const
{
    return state_->lease_.adopted();
}

bool DomainAgent::isAgent() const
{
    return state_->agent_;
}

ServerName DomainAgent::knownAgent() const
{
    return state_->knownAgent_;
}

bool DomainAgent::superseded() const
{
    return state_->superseded_;
}

ConfigVersion DomainAgent::confirmed() const
{
    return state_->adoption_.confirmed();
}

const MemberTable &DomainAgent::members() const
{
    return state_->table_;
}

std::string DomainAgent::confirmKey(const FailureDomainName &domain)
{
    return "confirm/" + domain.value();
}

ConfigVersion DomainAgent::confirmedVersion(const std::string &value)
{
    const std::optional<Confirmation> confirmation = parseConfirmation(value);
    return confirmation ? confirmation->version : ConfigVersion();
}

std::string DomainAgent::agentKey(const FailureDomainName &domain)
{
    return "agent/" + domain.value();
}

std::string DomainAgent::configurationKey()
{
    return "config";
}

} // namespace Hibiscus
