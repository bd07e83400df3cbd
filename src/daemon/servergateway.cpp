#include "daemon/servergateway.h"

#include "core/logevent.h"
#include "daemon/attemptquality.h"
#include "daemon/headernames.h"
#include "daemon/loadreport.h"
#include "daemon/startlog.h"

#include <vector>

namespace Hibiscus
{

namespace
{

/**
 * Time for which a non-repeatable attempt is awaited after its deadline, so that a resend by its caller can get the
 * response instead of an unknown outcome.
 */
constexpr Millis kNonRepeatableGrace{10000};

TicketId ticketOf(AttemptId attempt)
{
    return TicketId(attempt.value());
}

StoredResponse storedResponse(const HttpResponse &response)
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
    , notices_(self, tables, clock)
{
}

NoticeReceiver &ServerGateway::notices()
{
    return notices_;
}

void ServerGateway::execute(CallMessage message, CallCallback callback)
{
    const auto pending = std::make_shared<Pending>(Pending{std::move(message), std::move(callback), {}});
    const CallRequest &call = pending->message.call;
    const AttemptId attempt = pending->message.attempt;
    if (!beginAttempt(pending)) {
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        queued_[attempt] = pending;
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
    const Decision decision = tables_.admission.with([&](AdmissionController &admission) {
        if (pending->message.rateLimit) {
            admission.rateLimit().hint(*pending->message.rateLimit, clock_.now());
        }
        return admission.arrive(ticket);
    });
    switch (decision.kind) {
    case Decision::Kind::RunNow:
        removeQueued(attempt);
        sendToServer(pending);
        return;
    case Decision::Kind::Queued:
        return;
    case Decision::Kind::Refused:
        removeQueued(attempt);
        refuse(pending, decision.error);
        return;
    }
}

bool ServerGateway::beginAttempt(const PendingPtr &pending)
{
    const CallMessage &message = pending->message;
    const BeginResult beginResult = tables_.attempts.with([&](AttemptTable &attempts) {
        return attempts.begin(message.attempt, message.incarnation, !message.call.repeatable);
    });
    if (beginResult != BeginResult::Begun) {
        if (beginResult == BeginResult::OtherIncarnation) {
            CallResult result = failedResult(ErrorKind::StaleIncarnation);
            result.incarnation = self_.incarnation;
            finish(pending, std::move(result));
            return false;
        }
        const bool duplicate = beginResult == BeginResult::AlreadyBegun;
        finish(pending, failedResult(duplicate ? ErrorKind::InProgress : ErrorKind::Overloaded));
        return false;
    }
    if (const std::optional<ErrorKind> refusal = gate_.refusal(message.server)) {
        refuse(pending, *refusal);
        return false;
    }
    const SignatureStatus status =
        tables_.crashes.with([&](const CrashLedger &crashes) { return crashes.check(message.call.signature); });
    if (status == SignatureStatus::Quarantined) {
        refuse(pending, ErrorKind::Quarantined);
        return false;
    }
    if (status == SignatureStatus::Suspect) {
        const bool acquired =
            tables_.suspects.with([&](SuspectSlot &slot) { return slot.tryAcquire(message.attempt); });
        if (!acquired) {
            refuse(pending, ErrorKind::Overloaded);
            return false;
        }
        pending->isSuspect = true;
    }
    return true;
}

void ServerGateway::tick()
{
    applyDispatch(tables_.admission.with([](AdmissionController &admission) { return admission.tick(); }));
    logStartProgress(self_.server, tables_);
    logLevelChange(tables_.admission.with([](const AdmissionController &admission) { return admission.level(); }));
}

void ServerGateway::logLevelChange(Level level)
{
    // Only the start and the end of shedding are logged, since the level itself changes in each window.
    const bool shedding = level.value > 0;
    if (shedding_.exchange(shedding) != shedding) {
        logEvent(LogEvent::AdmissionLevelChanged,
                 self_.server.value()
                     + (shedding ? " sheds requests below level " + std::to_string(level.value)
                                 : " admits all requests again"));
    }
}

void ServerGateway::setServerHealthy(bool healthy, Millis coldStart)
{
    applyDispatch(tables_.admission.with([healthy, coldStart](AdmissionController &admission) {
        if (healthy && coldStart > Millis{0}) {
            admission.serverStarted(coldStart);
        }
        return admission.setServerHealthy(healthy);
    }));
    if (healthy) {
        tables_.quality.with([](ServerQuality &quality) { quality.reset(); });
    }
}

std::size_t ServerGateway::inFlight() const
{
    const std::lock_guard lock(mutex_);
    return queued_.size() + running_.size();
}

void ServerGateway::applyDispatch(const Dispatch &dispatch)
{
    for (const RefusedTicket &refused : dispatch.refused) {
        if (const PendingPtr pending = removeQueued(AttemptId(refused.ticket.id.value()))) {
            refuse(pending, refused.error);
        }
    }
    for (const Ticket &ticket : dispatch.started) {
        if (const PendingPtr pending = removeQueued(AttemptId(ticket.id.value()))) {
            sendToServer(pending);
        }
    }
}

ServerGateway::PendingPtr ServerGateway::removeQueued(AttemptId attempt)
{
    const std::lock_guard lock(mutex_);
    const auto found = queued_.find(attempt);
    if (found == queued_.end()) {
        return nullptr;
    }
    PendingPtr pending = std::move(found->second);
    queued_.erase(found);
    return pending;
}

void ServerGateway::sendToServer(const PendingPtr &pending)
{
    const CallRequest &call = pending->message.call;
    const AttemptId attempt = pending->message.attempt;
    pending->started = clock_.now();
    pending->serverProcess = notices_.currentProcess();
    // The server may have been drained or replaced while the attempt was queued.
    if (const std::optional<ErrorKind> refusal = gate_.refusal(pending->message.server)) {
        health_.attemptNotSent(attempt);
        ServiceSample sample;
        sample.failed = true;
        refuse(pending, *refusal);
        applyDispatch(tables_.admission.with(
            [&](AdmissionController &admission) { return admission.finished(ticketOf(attempt), sample); }));
        return;
    }
    CallScope scope{call.root, call.callPath, call.deadline, AttemptBudget(call.attemptBudget)};
    if (!call.repeatable && call.route.empty()) {
        // The attempt runs at most once, so this process can arbitrate the calls below it without asking another one.
        scope.root.identity = tables_.arbiter.with([](Arbiter &arbiter) { return arbiter.issue(); });
        scope.callPath.clear();
    }
    tables_.scopes.with([&](CallScopeTable &scopes) { scopes.open(attempt, std::move(scope), call.requestId); });
    health_.attemptStarted(attempt, call.signature);

    HttpCallOptions options;
    options.freshConnection = !call.repeatable;
    options.responseTimeout = (call.deadline - clock_.now()) + (call.repeatable ? Millis{0} : kNonRepeatableGrace);
    options.echoedField = protocol_.echoedField();
    options.otherResponse = [this, pending](const HttpResponse &response) {
        notices_.receiveOther(protocol_.readNotice(response), pending->serverProcess);
    };
    options.brokenResponse = [pending](ResponseFault fault) { pending->brokenResponse = fault; };
    {
        const std::lock_guard lock(mutex_);
        running_[attempt] = pending;
    }
    const std::shared_ptr<HttpCall> connection =
        client_.send(self_.backend, protocol_.encode(pending->message, call.deadline - clock_.now()), options,
                     [this, pending](HttpResult response) { onResponse(pending, std::move(response)); });
    const std::lock_guard lock(mutex_);
    if (running_.contains(attempt)) {
        pending->connection = connection;
    }
}

void ServerGateway::cancel(AttemptId attempt)
{
    const bool wasQueued =
        tables_.admission.with([&](AdmissionController &admission) { return admission.cancel(ticketOf(attempt)); });
    if (wasQueued) {
        if (const PendingPtr pending = removeQueued(attempt)) {
            tables_.attempts.with([&](AttemptTable &attempts) { return attempts.markNotRun(attempt); });
            finish(pending, failedResult(ErrorKind::Cancelled));
        }
        return;
    }
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(attempt);
    if (found == running_.end() || !found->second->message.call.repeatable) {
        return;
    }
    found->second->cancelled = true;
    if (const auto connection = found->second->connection.lock()) {
        connection->cancel();
    }
}

void ServerGateway::recheckQueue()
{
    std::vector<std::pair<PendingPtr, ErrorKind>> refused;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[attempt, pending] : queued_) {
            if (const std::optional<ErrorKind> refusal = gate_.refusal(pending->message.server)) {
                refused.emplace_back(pending, *refusal);
            }
        }
    }
    for (const auto &[pending, kind] : refused) {
        const AttemptId attempt = pending->message.attempt;
        const bool wasQueued =
            tables_.admission.with([&](AdmissionController &admission) { return admission.cancel(ticketOf(attempt)); });
        if (wasQueued && removeQueued(attempt)) {
            refuse(pending, kind);
        }
    }
}

void ServerGateway::onResponse(const PendingPtr &pending, HttpResult response)
{
    const CallRequest &call = pending->message.call;
    const AttemptId attempt = pending->message.attempt;
    {
        const std::lock_guard lock(mutex_);
        running_.erase(attempt);
        pending->connection.reset();
    }
    const bool isAbandoned =
        call.repeatable && (pending->cancelled || (!response && response.error() == TransportError::TimedOut));
    const ScopeEnd end = isAbandoned ? ScopeEnd::Abandoned : ScopeEnd::Finished;
    const ScopeSummary summary =
        tables_.scopes.with([&](CallScopeTable &scopes) { return scopes.close(attempt, end); });
    ServiceSample sample;
    sample.total = clock_.now() - pending->started;
    sample.waitingForChildren = summary.waitingForChildren;
    sample.failed = !response.has_value();
    std::optional<TransportError> transportError = response ? std::nullopt : std::optional(response.error());
    if (pending->cancelled) {
        // This daemon closed the connection, so the error says nothing about the server.
        transportError = TransportError::TimedOut;
    }
    health_.attemptEnded(attempt, transportError);
    const ServerNotice notice = response ? protocol_.readNotice(*response) : ServerNotice{};
    const bool hasResponse = response.has_value();
    CallResult result = makeResult(pending, std::move(response), summary);
    if (hasResponse) {
        receiveNotice(pending, notice, result);
    }
    sample.serverShed = !result.response && result.response.error() == ErrorKind::ServerRefused;
    if (result.response) {
        tables_.crashes.with([&](CrashLedger &crashes) { return crashes.recordCompletion(call.signature); });
        tables_.ownTime.with([&](LatencyTracker &tracker) { tracker.record(ownTimeKey(call), sample.ownTime()); });
        tables_.metrics.recordExecution(sample.ownTime());
    }

    sample.isServersFault = serverFailed(result, summary).value_or(false);
    recordQuality(call, result, sample, summary);

    const Dispatch next = tables_.admission.with(
        [&](AdmissionController &admission) { return admission.finished(ticketOf(attempt), sample); });
    if (!result.response) {
        logFailedAttempt(*pending, result.response.error(), sample.total);
    }
    recordOutcome(pending->message, result);
    finish(pending, std::move(result));
    applyDispatch(next);
}

void ServerGateway::logFailedAttempt(const Pending &pending, ErrorKind kind, Millis atServer) const
{
    logEvent(LogEvent::AttemptFailed, "",
             {{"request", pending.message.call.requestId},
              {"server", pending.message.server.value()},
              {"kind", errorResponseFor(kind).name},
              {"reason", pending.brokenResponse ? responseFaultName(*pending.brokenResponse) : ""},
              {"cancelled", pending.cancelled ? 1 : 0},
              {"atServerMs", atServer}});
}

void ServerGateway::receiveNotice(const PendingPtr &pending, const ServerNotice &notice, const CallResult &result)
{
    if (result.response || result.response.error() == ErrorKind::ServerRefused) {
        notices_.receive(notice, pending->serverProcess, pending->started);
    } else if (result.response.error() != ErrorKind::Misdirected) {
        notices_.receiveOther(notice, pending->serverProcess);
    }
}

void ServerGateway::healthCheckEnded(const HttpResponse &response)
{
    notices_.receiveOther(protocol_.readNotice(response), notices_.currentProcess());
    tables_.admission.with([&](AdmissionController &admission) { admission.rateLimit().recordStart(clock_.now()); });
}

void ServerGateway::recordQuality(const CallRequest &call, const CallResult &result, const ServiceSample &sample,
                                  const ScopeSummary &summary)
{
    const std::optional<bool> failed = serverFailed(result, summary);
    if (!failed) {
        return;
    }
    tables_.quality.with([&](ServerQuality &quality) {
        if (result.response) {
            quality.recordTime(ownTimeKey(call), sample.ownTime());
        }
        quality.recordResult(*failed);
    });
}

CallResult ServerGateway::makeResult(const PendingPtr &pending, HttpResult response, const ScopeSummary &summary)
{
    CallResult result;
    result.spent = summary.spent;
    result.subtreeLevel = summary.subtreeLevel;
    if (!response) {
        result.response = tl::unexpected(pending->cancelled ? ErrorKind::Cancelled
                                                            : errorKindOf(response.error(), pending->message.call));
        return result;
    }
    result.response = protocol_.decode(pending->message, std::move(*response));
    if (!result.response && result.outcome() == Outcome::NotRun && summary.nonRepeatableMayHaveRun) {
        // The server did not run the request, but a non-repeatable call that it made before it refused may have run.
        result.response = tl::unexpected(ErrorKind::Internal);
    }
    return result;
}

ErrorKind ServerGateway::errorKindOf(TransportError error, const CallRequest &call) const
{
    switch (error) {
    case TransportError::ConnectFailed:
    case TransportError::NotBegun:
        return ErrorKind::Unreachable;
    case TransportError::TimedOut:
        return ErrorKind::DeadlineExceeded;
    case TransportError::MalformedResponse:
        return ErrorKind::BadAnswer;
    case TransportError::Lost:
        break;
    }
    return clock_.now() >= call.deadline ? ErrorKind::DeadlineExceeded : ErrorKind::ServerCrashed;
}

void ServerGateway::refuse(const PendingPtr &pending, ErrorKind kind)
{
    tables_.admission.with([&](const AdmissionController &admission) {
        logEvent(LogEvent::AttemptRefused, "",
                 {{"request", pending->message.call.requestId},
                  {"server", pending->message.server.value()},
                  {"kind", errorResponseFor(kind).name},
                  {"limit", admission.limit()},
                  {"running", admission.running()},
                  {"queued", admission.queued()},
                  {"level", admission.level().value}});
    });
    CallResult result = failedResult(kind);
    if (kind == ErrorKind::Overloaded) {
        result.retryAfter =
            tables_.admission.with([](const AdmissionController &admission) { return admission.retryAfter(); });
    }
    recordOutcome(pending->message, result);
    finish(pending, std::move(result));
}

void ServerGateway::recordOutcome(const CallMessage &message, const CallResult &result)
{
    tables_.attempts.with([&](AttemptTable &attempts) {
        switch (result.outcome()) {
        case Outcome::Completed:
            return attempts.complete(message.attempt, storedResponse(*result.response));
        case Outcome::NotRun:
            return attempts.markNotRun(message.attempt);
        case Outcome::Unknown:
            break;
        }
        return attempts.markUnknown(message.attempt);
    });
}

void ServerGateway::finish(const PendingPtr &pending, CallResult result)
{
    if (pending->isSuspect) {
        tables_.suspects.with([&](SuspectSlot &slot) { slot.release(pending->message.attempt); });
    }
    addLoadReport(result, tables_);
    result.serverLeaving = gate_.isLeaving(pending->message.server);
    pending->callback(std::move(result));
}

} // namespace Hibiscus
