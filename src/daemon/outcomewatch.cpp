#include "daemon/outcomewatch.h"

#include "core/chronotime.h"
#include "core/logevent.h"
#include "daemon/headernames.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

/** Shortest time after which an attempt counts as late, or its daemon as silent. */
constexpr Millis kMinimumThreshold{250};
/** An attempt counts as late after this many times the recent p99 duration. */
constexpr double kLateFactor = 3;
/** A daemon counts as silent if it has sent no response to any call for this many times the recent median duration; the
 * link is then likely cut. */
constexpr double kDaemonSilenceFactor = 2;
/** Time between two queries of an attempt whose connection is lost. */
constexpr Millis kQueryInterval{100};
/** Failed queries in a row after which a repeatable attempt is given up. */
constexpr int kMaximumFailedQueries = 3;
/** Shortest timer delay; timers fire at whole milliseconds. */
constexpr Millis kTimerStep{1};
constexpr int kStatusRunning = 202;

} // namespace

OutcomeWatch::OutcomeWatch(CallServices &services, const Strand &strand, WatchedAttempt attempt, Callbacks callbacks)
    : services_(services)
    , strand_(strand)
    , timer_(strand_)
    , attempt_(std::move(attempt))
    , callbacks_(std::move(callbacks))
{
}

void OutcomeWatch::start()
{
    armTimer(daemonSilenceThreshold());
}

void OutcomeWatch::stop()
{
    stopped_ = true;
    timer_.cancel();
    callbacks_ = {};
}

Millis OutcomeWatch::lateThreshold() const
{
    const Millis p99 = services_.tables.callLatency.with(
        [this](const LatencyTracker &tracker) { return tracker.quantile(attempt_.durationKey, 0.99); });
    return std::max(kMinimumThreshold, p99 * kLateFactor);
}

Millis OutcomeWatch::daemonSilenceThreshold() const
{
    const Millis median = services_.tables.callLatency.with(
        [this](const LatencyTracker &tracker) { return tracker.quantile(attempt_.durationKey, 0.5); });
    return std::min(lateThreshold(), std::max(kMinimumThreshold, median * kDaemonSilenceFactor));
}

void OutcomeWatch::armTimer(Millis delay)
{
    timer_.expires_after(toChrono(delay));
    timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->stopped_) {
            self->checkSilence();
        }
    });
}

void OutcomeWatch::checkSilence()
{
    const Millis waited = services_.clock.now() - attempt_.started;
    const Millis silence = services_.routing.with(
        [this](RoutingTable &routing) { return routing.silence(attempt_.service, attempt_.server.name); });
    const Millis untilLate = lateThreshold() - waited;
    const Millis untilSilent = daemonSilenceThreshold() - std::min(waited, silence);
    const Millis remaining = std::min(untilLate, untilSilent);
    if (!callbacks_.isConnected() || queried_ || remaining <= Millis{0}) {
        query();
        return;
    }
    armTimer(std::max(remaining, kTimerStep));
}

void OutcomeWatch::query()
{
    if (queryPending_ || stopped_) {
        return;
    }
    if (services_.clock.now() >= attempt_.outcomeDeadline) {
        end(failedResult(ErrorKind::DeadlineExceeded));
        return;
    }
    queryPending_ = true;
    queried_ = true;
    services_.tables.metrics.recordOutcomeQuery();
    HttpCallOptions options;
    options.freshConnection = true;
    options.connectTimeout = kConnectTimeout;
    options.responseTimeout = kQueryTimeout;
    HttpRequest request{"GET", "/attempts/" + std::to_string(attempt_.id.value()), {}, ""};
    request.headers.set(HeaderName::kIncarnation, std::to_string(attempt_.server.incarnation.value()));
    services_.client.send(attempt_.server.address, request, options, [self = shared_from_this()](HttpResult result) {
        asio::post(self->strand_, [self, result = std::move(result)] { self->onQueryResult(result); });
    });
}

void OutcomeWatch::onQueryResult(const HttpResult &result)
{
    queryPending_ = false;
    if (stopped_) {
        return;
    }
    if (!result) {
        onQueryFailed(result.error());
        return;
    }
    if (result->status == kStatusRunning) {
        failedQueries_ = 0;
        armTimer(callbacks_.isConnected() ? lateThreshold() : kQueryInterval);
        return;
    }
    logEvent(LogEvent::ConnectionSilent,
             "outcome of attempt " + std::to_string(attempt_.id.value()) + " on " + attempt_.server.name.value()
                 + " received over a new connection");
    end(interpret(decodeResult(HttpResponse(*result))));
}

void OutcomeWatch::onQueryFailed(TransportError error)
{
    ++failedQueries_;
    const bool isUnreachable = error == TransportError::ConnectFailed;
    if (isUnreachable) {
        services_.client.closeIdle(attempt_.server.address);
    }
    if (attempt_.repeatable && isUnreachable) {
        // The callback calls stop(), which drops the callbacks.
        const auto unreachable = callbacks_.unreachable;
        unreachable();
        return;
    }
    if (attempt_.repeatable && failedQueries_ >= kMaximumFailedQueries) {
        end(failedResult(ErrorKind::ConnectionLost));
        return;
    }
    armTimer(kQueryInterval);
}

void OutcomeWatch::end(CallResult result)
{
    // The callback calls stop(), which drops the callbacks.
    const auto ended = callbacks_.ended;
    ended(std::move(result));
}

CallResult OutcomeWatch::interpret(CallResult result) const
{
    // After a pause of this process the daemon's record of the attempt may have expired, so it may report "not run"
    // wrongly.
    if (result.outcome() == Outcome::NotRun
        && services_.clock.now() - attempt_.started > AttemptTable::kReportValidity) {
        result.response = tl::unexpected(ErrorKind::ConnectionLost);
    }
    return result;
}

} // namespace Hibiscus
