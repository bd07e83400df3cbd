#ifndef HIBISCUS_DAEMON_METRICS_H
#define HIBISCUS_DAEMON_METRICS_H

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/millis.h"
#include "daemon/teamcounters.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Hibiscus
{

/** Counters and histograms of one daemon, served as text at /metrics. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** One call has ended at its coordinator. @p error is empty for a complete response. */
    void recordCall(const ClassName &requestClass, std::optional<ErrorKind> error, Millis duration);
    /** The call was one of @p team; in addition to recordCall(). */
    void recordTeamCall(const TeamName &team, std::optional<ErrorKind> error);
    void recordAttempt();
    void recordRetry();
    void recordOutcomeQuery();
    /** An attempt was completed by the local backend server after @p ownTime of own service time. */
    void recordExecution(Millis ownTime);

    std::uint64_t attempts() const;

    /** All metrics in the Prometheus text exposition format. */
    std::string exposition() const;

private:
    class Histograms;

    std::atomic<std::uint64_t> attempts_{0};
    std::atomic<std::uint64_t> retries_{0};
    std::atomic<std::uint64_t> outcomeQueries_{0};
    mutable std::mutex mutex_;
    std::map<std::pair<ClassName, std::string>, std::uint64_t> calls_; ///< By class and error name.
    TeamCounters teamCalls_;
    std::unique_ptr<Histograms> histograms_;
};

} // namespace Hibiscus

#endif
