#include "daemon/routingtable.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

/** Peak before any call is recorded: large, so that new calls are limited by the attempts left and not by a guess. */
constexpr int kDefaultPeak = 1000;
/** Factor on the peak after each call; an old peak fades over a few hundred calls. */
constexpr double kPeakDecay = 0.995;

} // namespace

RoutingTable::RoutingTable(BalancerSettings settings, const Clock &clock, RandomSource &random)
    : settings_(std::move(settings))
    , clock_(clock)
    , random_(random)
    , subtreeLevels_(clock)
{
}

RoutingTable::Entry &RoutingTable::entry(const ServiceName &service)
{
    Entry &found = entries_[service];
    if (!found.balancer) {
        found.balancer = std::make_unique<Balancer>(settings_, clock_, random_);
        if (retryLimits_) {
            found.retryBudget.setLimits(retryLimits_->first, retryLimits_->second);
        }
    }
    return found;
}

void RoutingTable::update(const Services &services)
{
    for (const auto &[service, servers] : services) {
        entry(service).balancer->update(servers);
    }
    for (auto &[service, known] : entries_) {
        if (services.count(service) == 0) {
            known.balancer->update({});
        }
    }
}

Result<ServerView> RoutingTable::pick(const ServiceName &service, Level level, const std::vector<ServerName> &exclude)
{
    Balancer &balancer = *entry(service).balancer;
    const Result<ServerName> name = balancer.pick(level, exclude);
    if (!name) {
        return tl::unexpected(name.error());
    }
    const ServerView *view = balancer.find(*name);
    if (view == nullptr) {
        return tl::unexpected(ErrorKind::NoServer);
    }
    balancer.started(*name);
    return *view;
}

void RoutingTable::finished(const ServiceName &service, const ServerName &server, const AttemptFeedback &feedback)
{
    entry(service).balancer->finished(server, feedback);
}

Millis RoutingTable::silence(const ServiceName &service, const ServerName &server)
{
    return entry(service).balancer->timeSinceResponse(server);
}

std::optional<RequestRate> RoutingTable::rateLimit(const ServiceName &service, const ServerName &server)
{
    return entry(service).balancer->rateLimit(server);
}

void RoutingTable::connectFailed(const ServiceName &service, const ServerName &server)
{
    entry(service).balancer->connectFailed(server);
}

void RoutingTable::serverMissing(const ServiceName &service, const ServerName &server)
{
    entry(service).balancer->serverMissing(server);
}

void RoutingTable::setIncarnation(const ServiceName &service, const ServerName &server, Incarnation incarnation)
{
    entry(service).balancer->setIncarnation(server, incarnation);
}

std::string RoutingTable::subtreeKey(const ServiceName &service, const ClassName &requestClass)
{
    return service.value() + "/" + requestClass.value();
}

bool RoutingTable::subtreeAdmits(const ServiceName &service, const ClassName &requestClass, Level level) const
{
    return subtreeLevels_.admits(ServiceName(subtreeKey(service, requestClass)), level);
}

void RoutingTable::reportSubtreeLevel(const ServiceName &service, const ClassName &requestClass, Level level)
{
    subtreeLevels_.report(ServiceName(subtreeKey(service, requestClass)), level);
}

int RoutingTable::recentPeak(const ServiceName &service) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end() || found->second.peak == 0) {
        return kDefaultPeak;
    }
    return static_cast<int>(std::ceil(found->second.peak));
}

void RoutingTable::recordAttemptsUsed(const ServiceName &service, int spent)
{
    Entry &known = entry(service);
    known.peak = std::max(known.peak * kPeakDecay, static_cast<double>(spent));
}

RetryBudget &RoutingTable::retryBudget(const ServiceName &service)
{
    return entry(service).retryBudget;
}

void RoutingTable::setRetryLimits(double perCompletion, double bucket)
{
    retryLimits_ = {perCompletion, bucket};
    for (auto &[service, known] : entries_) {
        known.retryBudget.setLimits(perCompletion, bucket);
    }
}

std::map<ServiceName, std::size_t> RoutingTable::serverCounts() const
{
    std::map<ServiceName, std::size_t> counts;
    for (const auto &[service, known] : entries_) {
        counts[service] = known.balancer->subset().size();
    }
    return counts;
}

} // namespace Hibiscus
