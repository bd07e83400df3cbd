#ifndef HIBISCUS_DAEMON_ROUTINGTABLE_H
#define HIBISCUS_DAEMON_ROUTINGTABLE_H

#include "core/clock.h"
#include "core/randomsource.h"
#include "retry/retrybudget.h"
#include "routing/balancer.h"
#include "routing/entrylevels.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Servers to which an attempt can be sent, and what this daemon has observed about each service. */
class RoutingTable
{
public:
    using Services = std::map<ServiceName, std::vector<ServerView>>;

    /** @p clock and @p random must outlive the table. */
    RoutingTable(BalancerSettings settings, const Clock &clock, RandomSource &random);

    /** Replaces the servers of all services by those of the directory. */
    void update(const Services &services);

    /** Chooses a server and counts an attempt as started there. Errors as Balancer::pick(). */
    Result<ServerView> pick(const ServiceName &service, Level level, const std::vector<ServerName> &exclude);
    void finished(const ServiceName &service, const ServerName &server, const AttemptFeedback &feedback);
    /** Time since the daemon beside @p server last responded to any call to @p service. */
    Millis silence(const ServiceName &service, const ServerName &server);
    /** Limit that @p server last named to this daemon; empty if none. */
    std::optional<RequestRate> rateLimit(const ServiceName &service, const ServerName &server);
    void connectFailed(const ServiceName &service, const ServerName &server);
    void serverMissing(const ServiceName &service, const ServerName &server);
    /** The daemon beside @p server was restarted. */
    void setIncarnation(const ServiceName &service, const ServerName &server, Incarnation incarnation);

    /** Whether the calls below a call of this class to @p service would be admitted, as far as this daemon knows. */
    bool subtreeAdmits(const ServiceName &service, const ClassName &requestClass, Level level) const;
    void reportSubtreeLevel(const ServiceName &service, const ClassName &requestClass, Level level);

    /** Largest number of attempts that calls to @p service used recently; a large number if none is recorded. */
    int recentPeak(const ServiceName &service) const;
    void recordAttemptsUsed(const ServiceName &service, int spent);

    RetryBudget &retryBudget(const ServiceName &service);
    /** Sets the limits of all retry budgets, as RetryBudget::setLimits() does. */
    void setRetryLimits(double perCompletion, double bucket);

    /** Number of servers known for each service. */
    std::map<ServiceName, std::size_t> serverCounts() const;

private:
    struct Entry {
        std::unique_ptr<Balancer> balancer;
        RetryBudget retryBudget;
        double peak = 0; ///< Decays with each call; 0 if none was recorded.
    };

    Entry &entry(const ServiceName &service);
    static std::string subtreeKey(const ServiceName &service, const ClassName &requestClass);

    BalancerSettings settings_;
    const Clock &clock_;
    RandomSource &random_;
    std::map<ServiceName, Entry> entries_;
    std::optional<std::pair<double, double>> retryLimits_; ///< Tokens for each completion, and size of the bucket.
    EntryLevels subtreeLevels_; ///< By subtreeKey().
};

} // namespace Hibiscus

#endif
