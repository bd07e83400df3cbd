#include "daemon/callattempts.h"

#include "core/logevent.h"
#include "daemon/headernames.h"
#include "retry/allowanceattemptpolicy.h"
#include "retry/routeattemptpolicy.h"

#include <algorithm>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

/** As ServerGateway awaits a non-repeatable attempt beyond its deadline. */
constexpr Millis kNonRepeatableGrace{10000};
constexpr int kFirstServerErrorStatus = 500;

std::unique_ptr<AttemptPolicy> makePolicy(const CallRequest &call)
{
    if (call.terms) {
        return std::make_unique<RouteAttemptPolicy>(call.repeatable, call.terms->attempts, call.allowance);
    }
    return std::make_unique<AllowanceAttemptPolicy>(call.allowance, call.repeatable, call.root.identity.has_value());
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
    if (!policy_->takeFirst()) {
        afterFailure(ErrorKind::AttemptsExhausted, false);
        return;
    }
    post(&CallAttempts::beginAttempt);
}

TimePoint CallAttempts::endBy() const
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
            call.abort(call.current_);
        }
        call.finish(failedAnswer(ErrorKind::Cancelled));
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
        const bool isUnsent = isOpen && attempt->connection && !attempt->connection->isWritten();
        ErrorKind kind = isOpen && !isUnsent ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineBeforeRun;
        if (isOpen && (isUnsent || call.call_.repeatable)) {
            call.abort(attempt);
        }
        if (kind == ErrorKind::DeadlineBeforeRun) {
            kind = call.policy_->answerFor(kind);
        }
        if (call.failedResponse_) {
            CallAnswer answer;
            answer.response = std::move(*call.failedResponse_);
            call.finish(std::move(answer));
            return;
        }
        call.finish(failedAnswer(kind));
    });
}

/** Tells the executing daemon that nobody waits for the attempt any more. */
void CallAttempts::abort(const AttemptPtr &attempt)
{
    if (attempt->server.address == services_.self.peers) {
        services_.gateway.cancel(attempt->id);
    } else if (!attempt->connection || attempt->connection->isWritten()) {
        HttpCallOptions options;
        options.connectTimeout = OutcomeWatch::kQueryTimeout;
        options.responseTimeout = OutcomeWatch::kQueryTimeout;
        HttpRequest request{"DELETE", "/attempts/" + std::to_string(attempt->id.value()), {}, ""};
        // Without an answer the attempt runs to its deadline, which does no harm but to its server.
        services_.client.send(attempt->server.address, std::move(request), options, [](const HttpResult &) {});
    }
    endAttempt(attempt, failedAnswer(ErrorKind::Cancelled), true);
}

void CallAttempts::beginAttempt()
{
    if (ended_) {
        return;
    }
    // A call of a request under way is shed nowhere, since the work done so far would be lost.
    const bool isUnderWay = call_.terms && call_.isNested();
    const Level level = isUnderWay ? kHighestLevel : levelOf(call_.root.rank, call_.root.bucket);
    if (services_.clock.now() >= call_.deadline) {
        afterFailure(ErrorKind::DeadlineBeforeRun, false);
        return;
    }
    const Result<ServerView> server = services_.routing.with([&](RoutingTable &routing) -> Result<ServerView> {
        if (!routing.subtreeAdmits(call_.service, call_.root.requestClass, level)) {
            return tl::unexpected(ErrorKind::Overloaded);
        }
        return routing.pick(call_.service, level, tried_);
    });
    if (!server) {
        afterFailure(server.error(), false);
        return;
    }
    const auto attempt = std::make_shared<Attempt>();
    attempt->id = AttemptId(services_.random.with([](DeviceRandom &random) { return random.next(); }));
    attempt->server = *server;
    attempt->granted = policy_->grant();
    attempt->started = services_.clock.now();
    tried_.push_back(server->name);
    current_ = attempt;
    services_.tables.metrics.recordAttempt();
    send(attempt);
}

void CallAttempts::send(const AttemptPtr &attempt)
{
    CallMessage message{CallPurpose::Execute, attempt->id,          attempt->server.incarnation,
                        services_.self.peers, attempt->server.name, {}};
    if (attempt->server.address == services_.self.peers) {
        message.call = call_;
        message.call.allowance = attempt->granted;
        services_.gateway.execute(std::move(message), [self = shared_from_this(), attempt](CallAnswer answer) {
            self->post([attempt, answer = std::move(answer)](CallAttempts &call) mutable {
                call.onAnswer(attempt, std::move(answer));
            });
        });
        return;
    }
    sendRemote(attempt, message);
    attempt->watch = watch(attempt);
    attempt->watch->start();
}

void CallAttempts::sendRemote(const AttemptPtr &attempt, const CallMessage &message)
{
    HttpCallOptions options;
    options.connectTimeout = OutcomeWatch::kConnectTimeout;
    options.responseTimeout = endBy() - services_.clock.now() + OutcomeWatch::kQueryTimeout;
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
                                      call.onAnswer(attempt, decodeAnswer(std::move(*result)));
                                  });
                              });
}

std::shared_ptr<OutcomeWatch> CallAttempts::watch(const AttemptPtr &attempt)
{
    const WatchedAttempt watched{attempt->id,         attempt->server, attempt->started, call_.service,
                                 call_.durationKey(), endBy(),         call_.repeatable};
    // The watch belongs to the attempt, and stop() in endAttempt() drops these references.
    OutcomeWatch::Callbacks callbacks;
    callbacks.isConnected = [attempt] { return attempt->connection != nullptr; };
    callbacks.ended = [self = shared_from_this(), attempt](CallAnswer answer) {
        self->onAnswer(attempt, std::move(answer));
    };
    callbacks.unreachable = [self = shared_from_this(), attempt] {
        self->endAttempt(attempt, failedAnswer(ErrorKind::ConnectionLost), false);
        self->afterFailure(ErrorKind::ConnectionLost, true);
    };
    return std::make_shared<OutcomeWatch>(services_, strand_, watched, std::move(callbacks));
}

void CallAttempts::onTransportError(const AttemptPtr &attempt, TransportError error)
{
    if (attempt->ended) {
        return;
    }
    if (error == TransportError::ConnectFailed || error == TransportError::NotWritten) {
        endAttempt(attempt, failedAnswer(ErrorKind::Unreachable), error != TransportError::ConnectFailed);
        afterFailure(ErrorKind::Unreachable, true);
        return;
    }
    attempt->watch->query();
}

void CallAttempts::onAnswer(const AttemptPtr &attempt, CallAnswer answer)
{
    if (attempt->ended) {
        return;
    }
    endAttempt(attempt, answer, true);
    const bool serverFailed = answer.response && answer.response->status >= kFirstServerErrorStatus;
    // With load being shed below it, a repeat would fail as well and add to the load.
    const bool shedBelow = answer.subtreeLevel.value_or(0) > 0;
    if (call_.terms && call_.repeatable && serverFailed && !shedBelow) {
        failedResponse_ = std::move(*answer.response);
        afterFailure(ErrorKind::ServerCrashed, true);
        return;
    }
    if (answer.response) {
        finish(std::move(answer));
        return;
    }
    const ErrorKind kind = answer.response.error();
    if (kind == ErrorKind::StaleIncarnation && answer.incarnation) {
        // The daemon was restarted; its server may be tried again under the process that answered.
        services_.routing.with([&](RoutingTable &routing) {
            routing.setIncarnation(call_.service, attempt->server.name, *answer.incarnation);
        });
        std::erase(tried_, attempt->server.name);
    }
    lastAnswer_ = std::move(answer);
    afterFailure(kind, true);
}

void CallAttempts::endAttempt(const AttemptPtr &attempt, const CallAnswer &answer, bool connected)
{
    attempt->ended = true;
    if (attempt->watch) {
        attempt->watch->stop();
    }
    if (attempt->connection) {
        attempt->connection->cancel();
        attempt->connection.reset();
    }
    const bool whole = answer.outcome() != Outcome::Unknown;
    policy_->settle(attempt->granted, whole ? answer.spent : std::nullopt);
    AnswerHint hint;
    hint.headroom = answer.headroom;
    hint.answered = answer.headroom.has_value();
    if (answer.level) {
        hint.level = Level{*answer.level};
    }
    const TimePoint now = services_.clock.now();
    // A daemon whose backend server is down answers at once, and would attract calls by its short queue.
    const bool serverDown = !answer.response && answer.response.error() == ErrorKind::Unreachable;
    services_.routing.with([&](RoutingTable &routing) {
        if (!connected || serverDown) {
            routing.connectFailed(call_.service, attempt->server.name);
            return;
        }
        routing.finished(call_.service, attempt->server.name, hint);
        if (answer.subtreeLevel) {
            routing.reportSubtree(call_.service, call_.root.requestClass, Level{*answer.subtreeLevel});
        }
        if (answer.response) {
            routing.retryBudget(call_.service).recordCompletion(now);
        } else if (answer.response.error() == ErrorKind::Overloaded) {
            routing.retryBudget(call_.service).recordShed(now);
        }
    });
    if (answer.response) {
        services_.tables.callLatency.with(
            [&](LatencyTracker &tracker) { tracker.record(call_.durationKey(), now - attempt->started); });
    }
}

void CallAttempts::afterFailure(ErrorKind kind, bool mayRetry)
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
                  {"kind", answerFor(kind).name},
                  {"server", tried_.empty() ? "" : tried_.back().value()},
                  {"attempts", policy_->spent()},
                  {"timeLeftMs", timeLeft}});
        beginAttempt();
        return;
    }
    CallAnswer answer = std::move(lastAnswer_);
    if (failedResponse_) {
        answer.response = std::move(*failedResponse_);
        finish(std::move(answer));
        return;
    }
    answer.response = tl::unexpected(decision.answer);
    if (answer.outcome() == Outcome::Unknown) {
        logEvent(LogEvent::AttemptOutcomeUnknown,
                 std::string(answerFor(decision.answer).name) + " for " + call_.method + " " + call_.service.value()
                     + call_.path);
    }
    finish(std::move(answer));
}

void CallAttempts::finish(CallAnswer answer)
{
    ended_ = true;
    const bool known = answer.outcome() != Outcome::Unknown;
    answer.spent = known ? std::optional(policy_->spent()) : std::nullopt;
    if (answer.response) {
        services_.routing.with([&](RoutingTable &routing) { routing.recordSpent(call_.service, policy_->spent()); });
    }
    CallCallback callback = std::move(callback_);
    callback_ = nullptr;
    if (callback) {
        callback(std::move(answer));
    }
}

} // namespace Hibiscus
