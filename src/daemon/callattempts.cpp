#include "daemon/callattempts.h"

#include "core/logevent.h"
#include "daemon/headernames.h"
#include "retry/budgetattemptpolicy.h"
#include "retry/routeattemptpolicy.h"

#include <algorithm>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

/** Time for which ServerGateway awaits a non-repeatable attempt after its deadline. */
constexpr Millis kNonRepeatableGrace{10000};
constexpr int kFirstServerErrorStatus = 500;
constexpr double kPercent = 100;

std::unique_ptr<AttemptPolicy> makePolicy(const CallRequest &call)
{
    if (call.routeSettings) {
        return std::make_unique<RouteAttemptPolicy>(call.repeatable, call.routeSettings->attempts, call.attemptBudget);
    }
    return std::make_unique<BudgetAttemptPolicy>(call.attemptBudget, call.repeatable, call.root.identity.has_value());
}

} // namespace

CallAttempts::CallAttempts(CallServices &services, CallRequest call, CallCallback callback)
    : services_(services)
    , call_(std::move(call))
    , callback_(std::move(callback))
    , strand_(asio::make_strand(services.context))
    , policy_(makePolicy(call_))
    , started_(services.clock.now())
{
}

void CallAttempts::post(Step step)
{
    asio::post(strand_, [self = shared_from_this(), step = std::move(step)] { step(*self); });
}

void CallAttempts::start()
{
    if (!policy_->consumeFirst()) {
        handleFailure(ErrorKind::AttemptsExhausted, false);
        return;
    }
    post(&CallAttempts::beginAttempt);
}

TimePoint CallAttempts::outcomeDeadline() const
{
    return call_.repeatable ? call_.deadline : call_.deadline + kNonRepeatableGrace;
}

void CallAttempts::cancel()
{
    post([](CallAttempts &call) {
        if (call.ended_) {
            return;
        }
        if (call.current_ && !call.current_->ended) {
            call.abortAttempt(call.current_);
        }
        call.finish(failedResult(ErrorKind::Cancelled));
    });
}

void CallAttempts::expire()
{
    post([](CallAttempts &call) {
        if (call.ended_) {
            return;
        }
        const AttemptPtr attempt = call.current_;
        const bool isOpen = attempt && !attempt->ended;
        const auto connection = isOpen ? attempt->connection.lock() : nullptr;
        const bool isUnsent = connection && connection->withdraw();
        ErrorKind kind = isOpen && !isUnsent ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineBeforeRun;
        if (isOpen && (isUnsent || call.call_.repeatable)) {
            call.abortAttempt(attempt);
        }
        if (kind == ErrorKind::DeadlineBeforeRun) {
            kind = call.policy_->finalError(kind);
        }
        if (call.failedResponse_) {
            CallResult result;
            result.response = std::move(*call.failedResponse_);
            call.finish(std::move(result));
            return;
        }
        call.finish(failedResult(kind));
    });
}

/** Ends @p attempt and tells the executing daemon to cancel it. */
void CallAttempts::abortAttempt(const AttemptPtr &attempt)
{
    const auto connection = attempt->connection.lock();
    if (attempt->server.address == services_.self.peers) {
        services_.gateway.cancel(attempt->id);
    } else if (!connection || !connection->withdraw()) {
        HttpCallOptions options;
        options.connectTimeout = OutcomeWatch::kQueryTimeout;
        options.responseTimeout = OutcomeWatch::kQueryTimeout;
        const HttpRequest request{"DELETE", "/attempts/" + std::to_string(attempt->id.value()), {}, ""};
        // If this request fails, the attempt runs until its deadline, which only wastes capacity of its server.
        services_.client.send(attempt->server.address, request, options, [](const HttpResult &) {});
    }
    endAttempt(attempt, failedResult(ErrorKind::Cancelled), true);
}

void CallAttempts::beginAttempt()
{
    if (ended_) {
        return;
    }
    // A nested call on a route is not shed, since the work already done for its request would be lost.
    const bool isNestedOnRoute = call_.routeSettings && call_.isNested();
    const Level level = isNestedOnRoute ? kHighestLevel : levelOf(call_.root.rank, call_.root.bucket);
    if (services_.clock.now() >= call_.deadline) {
        handleFailure(ErrorKind::DeadlineBeforeRun, false);
        return;
    }
    const Result<ServerView> server = services_.routing.with([&](RoutingTable &routing) -> Result<ServerView> {
        if (!routing.subtreeAdmits(call_.service, call_.root.requestClass, level)) {
            return tl::unexpected(ErrorKind::Overloaded);
        }
        return routing.pick(call_.service, level, tried_);
    });
    if (!server) {
        handleFailure(server.error(), false);
        return;
    }
    const auto attempt = std::make_shared<Attempt>();
    attempt->id = AttemptId(services_.random.with([](DeviceRandom &random) { return random.next(); }));
    attempt->server = *server;
    attempt->granted = policy_->grantSubtree();
    attempt->started = services_.clock.now();
    tried_.push_back(server->name);
    current_ = attempt;
    services_.tables.metrics.recordAttempt();
    send(attempt);
}

void CallAttempts::send(const AttemptPtr &attempt)
{
    CallMessage message{CallPurpose::Execute,
                        attempt->id,
                        attempt->server.incarnation,
                        services_.self.peers,
                        attempt->server.name,
                        {},
                        {}};
    if (attempt->server.address == services_.self.peers) {
        message.call = call_;
        message.call.attemptBudget = attempt->granted;
        services_.gateway.execute(std::move(message), [self = shared_from_this(), attempt](CallResult result) {
            self->post([attempt, result = std::move(result)](CallAttempts &call) mutable {
                call.onResult(attempt, std::move(result));
            });
        });
        return;
    }
    message.rateLimit = services_.routing.with(
        [&](RoutingTable &routing) { return routing.rateLimit(call_.service, attempt->server.name); });
    sendRemote(attempt, message);
    startWatch(attempt);
}

void CallAttempts::sendRemote(const AttemptPtr &attempt, const CallMessage &message)
{
    HttpCallOptions options;
    options.start = RequestStart::AtEnd;
    options.connectTimeout = OutcomeWatch::kConnectTimeout;
    options.responseTimeout = outcomeDeadline() - services_.clock.now() + OutcomeWatch::kQueryTimeout;
    attempt->connection =
        services_.client.send(attempt->server.address, encodeCall(message, call_, attempt->granted, services_.clock),
                              options, [self = shared_from_this(), attempt](HttpResult result) {
                                  self->post([attempt, result = std::move(result)](CallAttempts &call) mutable {
                                      attempt->connection.reset();
                                      if (!result) {
                                          call.onTransportError(attempt, result.error());
                                          return;
                                      }
                                      const auto echoed = result->headers.find(HeaderName::kAttempt);
                                      if (echoed != std::to_string(attempt->id.value())) {
                                          call.onTransportError(attempt, TransportError::MalformedResponse);
                                          return;
                                      }
                                      call.onResult(attempt, decodeResult(std::move(*result)));
                                  });
                              });
}

void CallAttempts::startWatch(const AttemptPtr &attempt)
{
    const WatchedAttempt watched{attempt->id,         attempt->server,   attempt->started, call_.service,
                                 call_.durationKey(), outcomeDeadline(), call_.repeatable};
    OutcomeWatch::Callbacks callbacks;
    callbacks.isConnected = [attempt] { return !attempt->connection.expired(); };
    callbacks.ended = [self = shared_from_this(), attempt](CallResult result) {
        self->onResult(attempt, std::move(result));
    };
    callbacks.unreachable = [self = shared_from_this(), attempt] {
        self->endAttempt(attempt, failedResult(ErrorKind::ConnectionLost), false);
        self->handleFailure(ErrorKind::ConnectionLost, true);
    };
    const auto watch = std::make_shared<OutcomeWatch>(services_, strand_, watched, std::move(callbacks));
    attempt->watch = watch;
    watch->start();
}

void CallAttempts::onTransportError(const AttemptPtr &attempt, TransportError error)
{
    if (attempt->ended) {
        return;
    }
    if (error == TransportError::ConnectFailed || error == TransportError::NotBegun) {
        endAttempt(attempt, failedResult(ErrorKind::Unreachable), error != TransportError::ConnectFailed);
        handleFailure(ErrorKind::Unreachable, true);
        return;
    }
    if (const auto watch = attempt->watch.lock()) {
        watch->query();
    }
}

void CallAttempts::onResult(const AttemptPtr &attempt, CallResult result)
{
    if (attempt->ended) {
        return;
    }
    endAttempt(attempt, result, true);
    const bool serverFailed = result.response && result.response->status >= kFirstServerErrorStatus;
    // While calls below this one are shed, a retry would fail as well and add to the load.
    const bool isShedBelow = result.subtreeLevel.value_or(0) > 0;
    if (call_.routeSettings && call_.repeatable && serverFailed && !isShedBelow) {
        failedResponse_ = std::move(*result.response);
        handleFailure(ErrorKind::ServerCrashed, true);
        return;
    }
    if (result.response) {
        finish(std::move(result));
        return;
    }
    const ErrorKind kind = result.response.error();
    if (kind == ErrorKind::StaleIncarnation && result.incarnation) {
        // The daemon was restarted; its server may be tried again under the new incarnation.
        services_.routing.with([&](RoutingTable &routing) {
            routing.setIncarnation(call_.service, attempt->server.name, *result.incarnation);
        });
        std::erase(tried_, attempt->server.name);
    }
    lastResult_ = std::move(result);
    handleFailure(kind, true);
}

void CallAttempts::endAttempt(const AttemptPtr &attempt, const CallResult &result, bool connected)
{
    attempt->ended = true;
    if (const auto watch = attempt->watch.lock()) {
        watch->stop();
    }
    if (const auto connection = attempt->connection.lock()) {
        connection->cancel();
    }
    attempt->connection.reset();
    const bool isOutcomeKnown = result.outcome() != Outcome::Unknown;
    policy_->settleGrant(attempt->granted, isOutcomeKnown ? result.spent : std::nullopt);
    AttemptFeedback feedback;
    feedback.headroom = result.headroom;
    feedback.limit = result.limit;
    feedback.rateLimit = result.rateLimit;
    feedback.serverResponded = result.response.has_value();
    feedback.slowdown = result.slowdownPercent.value_or(kPercent) / kPercent;
    feedback.failingShare = result.failingPercent.value_or(0) / kPercent;
    feedback.responded = result.headroom.has_value();
    if (result.level) {
        feedback.level = Level{*result.level};
    }
    const TimePoint now = services_.clock.now();
    // A daemon whose backend server is down responds at once, and its short queue would attract calls.
    const bool isServerDown = !result.response && result.response.error() == ErrorKind::Unreachable;
    const bool isServerMissing = !result.response && result.response.error() == ErrorKind::Misdirected;
    services_.routing.with([&](RoutingTable &routing) {
        if (isServerMissing) {
            routing.serverMissing(call_.service, attempt->server.name);
            return;
        }
        if (!connected || isServerDown) {
            routing.connectFailed(call_.service, attempt->server.name);
            return;
        }
        routing.finished(call_.service, attempt->server.name, feedback);
        if (result.subtreeLevel) {
            routing.reportSubtreeLevel(call_.service, call_.root.requestClass, Level{*result.subtreeLevel});
        }
        if (result.response) {
            routing.retryBudget(call_.service).recordCompletion(now);
        } else if (result.response.error() == ErrorKind::Overloaded) {
            routing.retryBudget(call_.service).recordShed(now);
        }
    });
    if (result.serverLeaving && services_.serverLeaving) {
        services_.serverLeaving(attempt->server);
    }
    if (result.response) {
        services_.tables.callLatency.with(
            [&](LatencyTracker &tracker) { tracker.record(call_.durationKey(), now - attempt->started); });
    }
}

void CallAttempts::handleFailure(ErrorKind kind, bool mayRetry)
{
    const TimePoint now = services_.clock.now();
    const Millis timeLeft = mayRetry ? call_.deadline - now : Millis{0};
    const Millis expected = services_.tables.callLatency.with(
        [this](const LatencyTracker &tracker) { return tracker.quantile(call_.durationKey(), 0.5); });
    const RetryDecision decision = services_.routing.with([&](RoutingTable &routing) {
        return policy_->decide(kind, timeLeft, expected, routing.retryBudget(call_.service), now);
    });
    if (decision.retry) {
        services_.tables.metrics.recordRetry();
        logEvent(LogEvent::RequestRetried, "",
                 {{"request", call_.requestId},
                  {"service", call_.service.value()},
                  {"kind", errorResponseFor(kind).name},
                  {"server", tried_.empty() ? "" : tried_.back().value()},
                  {"attempts", policy_->spent()},
                  {"timeLeftMs", timeLeft}});
        beginAttempt();
        return;
    }
    CallResult result = std::move(lastResult_);
    if (failedResponse_) {
        result.response = std::move(*failedResponse_);
        finish(std::move(result));
        return;
    }
    result.response = tl::unexpected(decision.error);
    if (result.outcome() == Outcome::Unknown) {
        logEvent(LogEvent::AttemptOutcomeUnknown,
                 std::string(errorResponseFor(decision.error).name) + " for " + call_.method + " "
                     + call_.service.value() + call_.path);
    }
    finish(std::move(result));
}

void CallAttempts::finish(CallResult result)
{
    ended_ = true;
    const bool isOutcomeKnown = result.outcome() != Outcome::Unknown;
    result.spent = isOutcomeKnown ? std::optional(policy_->spent()) : std::nullopt;
    if (result.response) {
        services_.routing.with(
            [&](RoutingTable &routing) { routing.recordAttemptsUsed(call_.service, policy_->spent()); });
    }
    CallCallback callback = std::move(callback_);
    callback_ = nullptr;
    if (callback) {
        callback(std::move(result));
    }
}

} // namespace Hibiscus
