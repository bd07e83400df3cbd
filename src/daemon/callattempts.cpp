#include "daemon/callattempts.h"

#include "core/chronotime.h"
#include "core/logevent.h"
#include "daemon/headernames.h"
#include "retry/allowanceattemptpolicy.h"
#include "retry/routeattemptpolicy.h"

#include <algorithm>
#include <chrono>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

/** Shortest wait before a connection counts as silent. */
constexpr Millis kMinimumSilence{250};
constexpr double kSilenceFactor = 3;
/** As kSilenceFactor, on the median, where the daemon has answered nothing else either: the link is likely cut. */
constexpr double kDaemonSilenceFactor = 2;
/** Time between two outcome queries of an attempt whose connection is lost. */
constexpr Millis kQueryInterval{100};
constexpr Millis kQueryTimeout{1000};
/** Time to reach another daemon; one that doesn't accept within it is cut off, has lost power or is overloaded. */
constexpr Millis kHopConnectTimeout{200};
/** Queries without an answer after which a lost repeatable attempt is given up. */
constexpr int kMaximumFailedQueries = 3;
/** As ServerGateway awaits a non-repeatable attempt beyond its deadline. */
constexpr Millis kNonRepeatableGrace{10000};
constexpr int kStatusRunning = 202;
/** Timers fire at whole milliseconds. */
constexpr Millis kTimerStep{1};
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
    , queryTimer_(strand_)
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

Millis CallAttempts::silenceThreshold() const
{
    const Millis usual = services_.tables.callLatency.with(
        [this](const LatencyTracker &tracker) { return tracker.quantile(call_.durationKey(), 0.99); });
    return std::max(kMinimumSilence, usual * kSilenceFactor);
}

Millis CallAttempts::daemonSilenceThreshold() const
{
    const Millis usual = services_.tables.callLatency.with(
        [this](const LatencyTracker &tracker) { return tracker.quantile(call_.durationKey(), 0.5); });
    return std::min(silenceThreshold(), std::max(kMinimumSilence, usual * kDaemonSilenceFactor));
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
        options.connectTimeout = kQueryTimeout;
        options.answerTimeout = kQueryTimeout;
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
    armQueryTimer(attempt, daemonSilenceThreshold());
}

void CallAttempts::sendRemote(const AttemptPtr &attempt, const CallMessage &message)
{
    HttpCallOptions options;
    options.connectTimeout = kHopConnectTimeout;
    options.answerTimeout = endBy() - services_.clock.now() + kQueryTimeout;
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
                                          call.onTransportError(attempt, TransportError::MalformedAnswer);
                                          return;
                                      }
                                      call.onAnswer(attempt, decodeAnswer(std::move(*result)));
                                  });
                              });
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
    queryOutcome(attempt);
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

void CallAttempts::armQueryTimer(const AttemptPtr &attempt, Millis delay)
{
    queryTimer_.expires_after(toChrono(delay));
    queryTimer_.async_wait([self = shared_from_this(), attempt](const asio::error_code &error) {
        if (!error && !attempt->ended) {
            self->checkSilence(attempt);
        }
    });
}

/** Asks for the outcome if the attempt takes unusually long, or if its daemon answers nothing to anybody. */
void CallAttempts::checkSilence(const AttemptPtr &attempt)
{
    const Millis waited = services_.clock.now() - attempt->started;
    const Millis silence = services_.routing.with(
        [&](RoutingTable &routing) { return routing.silence(call_.service, attempt->server.name); });
    const Millis untilLate = silenceThreshold() - waited;
    const Millis untilSilent = daemonSilenceThreshold() - std::min(waited, silence);
    const Millis rest = std::min(untilLate, untilSilent);
    if (!attempt->connection || attempt->queried || rest <= Millis{0}) {
        queryOutcome(attempt);
        return;
    }
    armQueryTimer(attempt, std::max(rest, kTimerStep));
}

void CallAttempts::queryOutcome(const AttemptPtr &attempt)
{
    if (attempt->queryPending) {
        return;
    }
    if (services_.clock.now() >= endBy()) {
        onAnswer(attempt, failedAnswer(ErrorKind::DeadlineExceeded));
        return;
    }
    attempt->queryPending = true;
    attempt->queried = true;
    services_.tables.metrics.recordOutcomeQuery();
    HttpCallOptions options;
    options.freshConnection = true;
    options.connectTimeout = kHopConnectTimeout;
    options.answerTimeout = kQueryTimeout;
    HttpRequest request{"GET", "/attempts/" + std::to_string(attempt->id.value()), {}, ""};
    request.headers.set(HeaderName::kIncarnation, std::to_string(attempt->server.incarnation.value()));
    services_.client.send(attempt->server.address, std::move(request), options,
                          [self = shared_from_this(), attempt](HttpResult result) {
                              self->post([attempt, result = std::move(result)](CallAttempts &call) mutable {
                                  call.onOutcome(attempt, std::move(result));
                              });
                          });
}

void CallAttempts::onOutcome(const AttemptPtr &attempt, HttpResult result)
{
    attempt->queryPending = false;
    if (attempt->ended) {
        return;
    }
    if (result && result->status == kStatusRunning) {
        attempt->failedQueries = 0;
        armQueryTimer(attempt, attempt->connection ? silenceThreshold() : kQueryInterval);
        return;
    }
    if (result) {
        logEvent(LogEvent::ConnectionSilent,
                 "outcome of attempt " + std::to_string(attempt->id.value()) + " on " + attempt->server.name.value()
                     + " came over a new connection");
        onAnswer(attempt, believedAnswer(*attempt, decodeAnswer(std::move(*result))));
        return;
    }
    ++attempt->failedQueries;
    const bool isUnreachable = result.error() == TransportError::ConnectFailed;
    if (isUnreachable) {
        services_.client.closeIdle(attempt->server.address);
    }
    const bool giveUp = isUnreachable || attempt->failedQueries >= kMaximumFailedQueries;
    if (!giveUp || !call_.repeatable) {
        armQueryTimer(attempt, kQueryInterval);
        return;
    }
    if (isUnreachable) {
        endAttempt(attempt, failedAnswer(ErrorKind::ConnectionLost), false);
        afterFailure(ErrorKind::ConnectionLost, true);
        return;
    }
    onAnswer(attempt, failedAnswer(ErrorKind::ConnectionLost));
}

CallAnswer CallAttempts::believedAnswer(const Attempt &attempt, CallAnswer answer) const
{
    // After a pause of this process the record of the attempt may have expired, and "never seen" says nothing.
    if (answer.outcome() == Outcome::NotRun
        && services_.clock.now() - attempt.started > AttemptTable::kReportValidity) {
        answer.response = tl::unexpected(ErrorKind::ConnectionLost);
    }
    return answer;
}

void CallAttempts::endAttempt(const AttemptPtr &attempt, const CallAnswer &answer, bool connected)
{
    attempt->ended = true;
    queryTimer_.cancel();
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
