#include "daemon/metrics.h"

#include "core/messageguard.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace Hibiscus
{

namespace
{

namespace histogram = boost::histogram;

using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram = decltype(histogram::make_histogram(LatencyAxis(1, 1.0, 2.0)));

constexpr unsigned kLatencyBuckets = 24;
constexpr double kLowestMs = 0.1;
constexpr double kHighestMs = 60000;

LatencyHistogram makeLatencyHistogram()
{
    return histogram::make_histogram(LatencyAxis(kLatencyBuckets, kLowestMs, kHighestMs));
}

void writeHistogram(std::ostream &out, const std::string &name, const LatencyHistogram &source)
{
    out << "# TYPE " << name << " histogram\n";
    double cumulative = source.at(-1);
    for (int bucket = 0; bucket < static_cast<int>(kLatencyBuckets); ++bucket) {
        cumulative += source.at(bucket);
        out << name << "_bucket{le=\"" << source.axis().bin(bucket).upper() << "\"} " << cumulative << '\n';
    }
    cumulative += source.at(static_cast<int>(kLatencyBuckets));
    out << name << "_bucket{le=\"+Inf\"} " << cumulative << '\n' << name << "_count " << cumulative << '\n';
}

void writeCounter(std::ostream &out, const std::string &name, std::uint64_t value)
{
    out << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
}

/** Label of a call that ended with @p error, or with a complete response if it is empty. */
std::string resultOf(std::optional<ErrorKind> error)
{
    return error ? std::string(errorResponseFor(*error).name) : "completed";
}

} // namespace

class Metrics::Histograms
{
public:
    LatencyHistogram callDuration = makeLatencyHistogram();
    LatencyHistogram ownTime = makeLatencyHistogram();
};

Metrics::Metrics()
    : histograms_(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::recordCall(const ClassName &requestClass, std::optional<ErrorKind> error, Millis duration)
{
    const std::string result = resultOf(error);
    const std::lock_guard lock(mutex_);
    ++calls_[{requestClass, result}];
    histograms_->callDuration(duration.value);
}

void Metrics::recordTeamCall(const TeamName &team, std::optional<ErrorKind> error)
{
    const std::string result = resultOf(error);
    const std::lock_guard lock(mutex_);
    teamCalls_.add(team, result);
}

void Metrics::recordAttempt()
{
    ++attempts_;
}

void Metrics::recordRetry()
{
    ++retries_;
}

void Metrics::recordOutcomeQuery()
{
    ++outcomeQueries_;
}

void Metrics::recordExecution(Millis ownTime)
{
    const std::lock_guard lock(mutex_);
    histograms_->ownTime(ownTime.value);
}

std::uint64_t Metrics::attempts() const
{
    return attempts_;
}

std::string Metrics::exposition() const
{
    std::ostringstream out;
    writeCounter(out, "hibiscus_attempts_total", attempts_);
    writeCounter(out, "hibiscus_retries_total", retries_);
    writeCounter(out, "hibiscus_outcome_queries_total", outcomeQueries_);
    writeCounter(out, "hibiscus_failed_messages_total", failedMessages());
    const std::lock_guard lock(mutex_);
    out << "# TYPE hibiscus_calls_total counter\n";
    for (const auto &[key, count] : calls_) {
        out << "hibiscus_calls_total{class=\"" << key.first.value() << "\",result=\"" << key.second << "\"} " << count
            << '\n';
    }
    teamCalls_.write(out);
    writeHistogram(out, "hibiscus_call_duration_milliseconds", histograms_->callDuration);
    writeHistogram(out, "hibiscus_own_time_milliseconds", histograms_->ownTime);
    return out.str();
}

} // namespace Hibiscus
