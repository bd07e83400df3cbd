#include "daemon/servergateway.h"

#include "core/logevent.h"
#include "daemon/headernames.h"

#include <vector>

namespace Hibiscus
{

namespace
{

/**
 * A non-repeatable attempt is awaited this much longer than its deadline, so that a resend of its caller can be given
 * the answer instead of an unknown outcome.
 */
constexpr Millis kNonRepeatableGrace{10000};

TicketId ticketOf(AttemptId attempt)
{
    return TicketId(attempt.value());
}

/** Key under which the own service time of such calls is learned. */
ServiceName ownTimeKey(const CallRequest &call)
{
    return ServiceName(call.route.empty() ? call.root.requestClass.value() : call.route);
}

StoredAnswer toStored(const HttpResponse &response)
{
    return {response.status, response.headers.fields(), response.body};
}

} // namespace

ServerGateway::ServerGateway(const DaemonIdentity &self, SharedTables &tables, HttpClient &client, ServerHealth &health,
                             const ServingGate &gate, const BackendProtocol &protocol, const Clock &clock)
    : self_(self)
    , tables_(tables)
    , client_(client)
    , health_(health)
    , gate_(gate)
    , protocol_(protocol)
    , clock_(clock)
{
}

void ServerGateway::execute(CallMessage message, CallCallback callback)
{
    const auto pending = std::make_shared<Pending>(Pending{std::move(message), std::move(callback), {}});
    const CallRequest &call = pending->message.call;
    const AttemptId attempt = pending->message.attempt;
    if (!enter(pending)) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        pending_[attempt] = pending;
    }
    const Millis expected =
        tables_.ownTime.with([&](const LatencyTracker &tracker) { return tracker.quantile(ownTimeKey(call), 0.5); });
    const Ticket ticket{ticketOf(attempt),
                        call.root.rank,
                        call.root.bucket,
                        clock_.now(),
                        call.deadline,
                        expected,
                        !call.route.empty() && call.isNested()};
    const Decision decision =
        tables_.admission.with([&](AdmissionController &admission) { return admission.arrive(ticket); });
    switch (decision.kind) {
    case Decision::Kind::RunNow:
        takePending(attempt);
        dispatch(pending);
        return;
    case Decision::Kind::Queued:
        return;
    case Decision::Kind::Refused:
        takePending(attempt);
        reject(pending, decision.error);
        return;
    }
}

bool ServerGateway::enter(const PendingPtr &pending)
{
    const CallMessage &message = pending->message;
    const BeginResult begun = tables_.attempts.with([&](AttemptTable &attempts) {
        return attempts.begin(message.attempt, message.incarnation, !message.call.repeatable);
    });
    if (begun != BeginResult::Begun) {
        if (begun == BeginResult::OtherIncarnation) {
            CallAnswer answer = failedAnswer(ErrorKind::StaleIncarnation);
            answer.incarnation = self_.incarnation;
            finish(pending, std::move(answer));
            return false;
        }
        const bool duplicate = begun == BeginResult::AlreadyBegun;
        finish(pending, failedAnswer(duplicate ? ErrorKind::InProgress : ErrorKind::Overloaded));
        return false;
    }
    if (const std::optional<ErrorKind> refusal = gate_.refusal(message.server)) {
        reject(pending, *refusal);
        return false;
    }
    const Verdict verdict =
        tables_.crashes.with([&](const CrashLedger &crashes) { return crashes.check(message.call.signature); });
    if (verdict == Verdict::Quarantined) {
        reject(pending, ErrorKind::Quarantined);
        return false;
    }
    if (verdict == Verdict::Suspect) {
        const bool taken = tables_.suspects.with([&](SuspectSlot &slot) { return slot.tryTake(message.attempt); });
        if (!taken) {
            reject(pending, ErrorKind::Overloaded);
            return false;
        }
        pending->isSuspect = true;
    }
    return true;
}

void ServerGateway::tick()
{
    handleDispatch(tables_.admission.with([](AdmissionController &admission) { return admission.tick(); }));
    noteLevel(tables_.admission.with([](const AdmissionController &admission) { return admission.level(); }));
}

void ServerGateway::noteLevel(Level level)
{
    // Only the begin and the end are logged, since the level itself moves in each window.
    const bool shedding = level.value > 0;
    if (shedding_.exchange(shedding) != shedding) {
        logEvent(LogEvent::AdmissionLevelChanged,
                 self_.server.value()
                     + (shedding ? " sheds requests below level " + std::to_string(level.value)
                                 : " admits all requests again"));
    }
}

void ServerGateway::setServerHealthy(bool healthy)
{
    handleDispatch(tables_.admission.with([healthy](AdmissionController &admission) {
        if (healthy) {
            admission.serverStarted();
        }
        return admission.setServerHealthy(healthy);
    }));
}

std::size_t ServerGateway::inFlight() const
{
    const std::lock_guard lock(mutex_);
    return pending_.size() + running_.size();
}

void ServerGateway::handleDispatch(const Dispatch &dispatched)
{
    for (const RefusedTicket &refused : dispatched.refused) {
        if (const PendingPtr pending = takePending(AttemptId(refused.ticket.id.value()))) {
            reject(pending, refused.error);
        }
    }
    for (const Ticket &ticket : dispatched.started) {
        if (const PendingPtr pending = takePending(AttemptId(ticket.id.value()))) {
            dispatch(pending);
        }
    }
}

ServerGateway::PendingPtr ServerGateway::takePending(AttemptId attempt)
{
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(attempt);
    if (found == pending_.end()) {
        return nullptr;
    }
    PendingPtr pending = std::move(found->second);
    pending_.erase(found);
    return pending;
}

void ServerGateway::dispatch(const PendingPtr &pending)
{
    const CallRequest &call = pending->message.call;
    const AttemptId attempt = pending->message.attempt;
    pending->started = clock_.now();
    // The server may have been drained or replaced while the attempt was queued.
    if (const std::optional<ErrorKind> refusal = gate_.refusal(pending->message.server)) {
        health_.notRun(attempt);
        ServiceSample sample;
        sample.failed = true;
        reject(pending, *refusal);
        handleDispatch(tables_.admission.with(
            [&](AdmissionController &admission) { return admission.finished(ticketOf(attempt), sample); }));
        return;
    }
    CallScope scope{call.root, call.callPath, call.deadline, AttemptAllowance(call.allowance)};
    if (!call.repeatable && call.route.empty()) {
        // The execution happens at most once, so the calls below it can be arbitrated here, without a message.
        scope.root.identity = tables_.arbiter.with([](Arbiter &arbiter) { return arbiter.issue(); });
        scope.callPath.clear();
    }
    tables_.scopes.with([&](CallScopeTable &scopes) { scopes.open(attempt, std::move(scope), call.requestId); });
    health_.started(attempt, call.signature);

    HttpCallOptions options;
    options.freshConnection = !call.repeatable;
    options.responseTimeout = (call.deadline - clock_.now()) + (call.repeatable ? Millis{0} : kNonRepeatableGrace);
    options.echoedField = protocol_.echoedField();
    {
        const std::lock_guard lock(mutex_);
        running_[attempt] = pending;
    }
    std::shared_ptr<HttpCall> connection =
        client_.send(self_.backend, protocol_.encode(pending->message, call.deadline - clock_.now()), options,
                     [this, pending](HttpResult result) { onResult(pending, std::move(result)); });
    const std::lock_guard lock(mutex_);
    if (running_.contains(attempt)) {
        pending->connection = std::move(connection);
    }
}

void ServerGateway::cancel(AttemptId attempt)
{
    const bool wasQueued =
        tables_.admission.with([&](AdmissionController &admission) { return admission.cancel(ticketOf(attempt)); });
    if (wasQueued) {
        if (const PendingPtr pending = takePending(attempt)) {
            tables_.attempts.with([&](AttemptTable &attempts) { return attempts.markNotRun(attempt); });
            finish(pending, failedAnswer(ErrorKind::Cancelled));
        }
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(attempt);
    if (found == running_.end() || !found->second->message.call.repeatable) {
        return;
    }
    found->second->cancelled = true;
    if (found->second->connection) {
        found->second->connection->cancel();
    }
}

void ServerGateway::recheckQueue()
{
    std::vector<std::pair<PendingPtr, ErrorKind>> refused;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[attempt, pending] : pending_) {
            if (const std::optional<ErrorKind> refusal = gate_.refusal(pending->message.server)) {
                refused.emplace_back(pending, *refusal);
            }
        }
    }
    for (const auto &[pending, kind] : refused) {
        const AttemptId attempt = pending->message.attempt;
        const bool wasQueued =
            tables_.admission.with([&](AdmissionController &admission) { return admission.cancel(ticketOf(attempt)); });
        if (wasQueued && takePending(attempt)) {
            reject(pending, kind);
        }
    }
}

void ServerGateway::onResult(const PendingPtr &pending, HttpResult result)
{
    const CallRequest &call = pending->message.call;
    const AttemptId attempt = pending->message.attempt;
    {
        const std::lock_guard lock(mutex_);
        running_.erase(attempt);
        pending->connection.reset();
    }
    const bool isGivenUp =
        call.repeatable && (pending->cancelled || (!result && result.error() == TransportError::TimedOut));
    const ScopeEnd end = isGivenUp ? ScopeEnd::Abandoned : ScopeEnd::Answered;
    const ScopeSummary summary =
        tables_.scopes.with([&](CallScopeTable &scopes) { return scopes.close(attempt, end); });
    ServiceSample sample;
    sample.total = clock_.now() - pending->started;
    sample.waitingForChildren = summary.waitingForChildren;
    sample.failed = !result.has_value();
    std::optional<TransportError> lost = result ? std::nullopt : std::optional(result.error());
    if (pending->cancelled) {
        // The connection was closed from here, which says nothing about the server.
        lost = TransportError::TimedOut;
    }
    health_.ended(attempt, lost);
    CallAnswer answer = conclude(pending, std::move(result), summary);
    sample.serverShed = !answer.response && answer.response.error() == ErrorKind::ServerRefused;
    if (answer.response) {
        tables_.crashes.with([&](CrashLedger &crashes) { return crashes.completed(call.signature); });
        tables_.ownTime.with([&](LatencyTracker &tracker) { tracker.record(ownTimeKey(call), sample.ownTime()); });
        tables_.metrics.recordExecution(sample.ownTime());
    }

    const Dispatch next = tables_.admission.with(
        [&](AdmissionController &admission) { return admission.finished(ticketOf(attempt), sample); });
    if (!answer.response) {
        logEvent(LogEvent::AttemptFailed, "",
                 {{"request", call.requestId},
                  {"server", pending->message.server.value()},
                  {"kind", answerFor(answer.response.error()).name},
                  {"cancelled", pending->cancelled ? 1 : 0},
                  {"atServerMs", sample.total}});
    }
    settle(pending->message, answer);
    finish(pending, std::move(answer));
    handleDispatch(next);
}

CallAnswer ServerGateway::conclude(const PendingPtr &pending, HttpResult result, const ScopeSummary &summary)
{
    CallAnswer answer;
    answer.spent = summary.spent;
    answer.subtreeLevel = summary.subtreeLevel;
    if (!result) {
        answer.response = tl::unexpected(pending->cancelled ? ErrorKind::Cancelled
                                                            : failureOf(result.error(), pending->message.call));
        return answer;
    }
    answer.response = protocol_.decode(pending->message, std::move(*result));
    if (!answer.response && answer.outcome() == Outcome::NotRun && summary.nonRepeatableMayHaveRun) {
        // The server's word covers itself, but not the calls that it made before it gave up.
        answer.response = tl::unexpected(ErrorKind::Internal);
    }
    return answer;
}

ErrorKind ServerGateway::failureOf(TransportError error, const CallRequest &call) const
{
    switch (error) {
    case TransportError::ConnectFailed:
    case TransportError::NotWritten:
        return ErrorKind::Unreachable;
    case TransportError::TimedOut:
        return ErrorKind::DeadlineExceeded;
    case TransportError::LostAfterWrite:
    case TransportError::MalformedResponse:
        break;
    }
    return clock_.now() >= call.deadline ? ErrorKind::DeadlineExceeded : ErrorKind::ServerCrashed;
}

void ServerGateway::reject(const PendingPtr &pending, ErrorKind kind)
{
    tables_.admission.with([&](const AdmissionController &admission) {
        logEvent(LogEvent::AttemptRefused, "",
                 {{"request", pending->message.call.requestId},
                  {"server", pending->message.server.value()},
                  {"kind", answerFor(kind).name},
                  {"limit", admission.limit()},
                  {"running", admission.running()},
                  {"queued", admission.queued()},
                  {"level", admission.level().value}});
    });
    CallAnswer answer = failedAnswer(kind);
    settle(pending->message, answer);
    finish(pending, std::move(answer));
}

void ServerGateway::settle(const CallMessage &message, const CallAnswer &answer)
{
    tables_.attempts.with([&](AttemptTable &attempts) {
        switch (answer.outcome()) {
        case Outcome::Completed:
            return attempts.complete(message.attempt, toStored(*answer.response));
        case Outcome::NotRun:
            return attempts.markNotRun(message.attempt);
        case Outcome::Unknown:
            break;
        }
        return attempts.markUnknown(message.attempt);
    });
}

void ServerGateway::finish(const PendingPtr &pending, CallAnswer answer)
{
    if (pending->isSuspect) {
        tables_.suspects.with([&](SuspectSlot &slot) { slot.release(pending->message.attempt); });
    }
    tables_.admission.with([&answer](const AdmissionController &admission) {
        answer.level = admission.level().value;
        answer.headroom = admission.headroom();
    });
    pending->callback(std::move(answer));
}

} // namespace Hibiscus
