#include "daemon/callhandler.h"

#include "core/contenthash.h"
#include "daemon/callmessage.h"
#include "daemon/headernames.h"
#include "daemon/loadreport.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr int kBuckets = 128;

HttpResponse refusal(ErrorKind kind)
{
    return encodeResult(failedResult(kind));
}

/** Refusal of a request that may be a resend, by a daemon that has not asked the arbiter. */
HttpResponse resendRefusal(ErrorKind kind)
{
    return refusal(kind == ErrorKind::BadRequest ? kind : ErrorKind::ResendRefused);
}

/** Response to a caller, without the load and attempt figures that are meant for other daemons. */
HttpResponse encodeForCaller(CallResult result)
{
    result.spent.reset();
    removeLoadReport(result);
    return encodeResult(std::move(result));
}

/** Time limit that the caller asked for, at most the deadline of the class. */
Result<Millis> deadlineOf(const HttpRequest &request, const RequestClass &requestClass)
{
    const auto text = request.headers.find(HeaderName::kDeadline);
    if (!text) {
        return requestClass.deadline;
    }
    const auto requested = parseUnsigned(*text);
    if (!requested) {
        return tl::unexpected(ErrorKind::BadRequest);
    }
    return std::min(requestClass.deadline, Millis{static_cast<double>(*requested)});
}

/** Key of a call among the calls below one attempt. A call that is made again when the attempt is retried gets the same
 * key. */
ChildKey childKey(const HttpRequest &request, const CallRequest &call)
{
    if (const auto given = request.headers.find(HeaderName::kCallKey)) {
        return {"k" + std::to_string(stableHash(*given)), true};
    }
    return {"h" + std::to_string(call.signature.value()), false};
}

} // namespace

CallHandler::CallHandler(CallServices &services, CallCoordinator &coordinator, const ServingGate &gate)
    : services_(services)
    , coordinator_(coordinator)
    , gate_(gate)
{
}

void CallHandler::handle(HttpRequest request, HttpResponder respond)
{
    const auto context = request.headers.find(HeaderName::kContext);
    if (!context) {
        handleRoot(std::move(request), std::move(respond));
        return;
    }
    const auto attempt = parseUnsigned(*context, 16);
    if (!attempt) {
        respond(refusal(ErrorKind::BadRequest));
        return;
    }
    handleChild(AttemptId(*attempt), std::move(request), std::move(respond));
}

Result<CallRequest> CallHandler::parseCall(const HttpRequest &request, const Configuration &configuration) const
{
    const std::optional<ServiceTarget> target = parseServiceTarget(request.target);
    if (!target) {
        return tl::unexpected(ErrorKind::BadRequest);
    }
    const std::vector<ServiceName> &services = configuration.inventory.services;
    if (std::find(services.begin(), services.end(), target->service) == services.end()) {
        return tl::unexpected(ErrorKind::UnknownService);
    }
    CallRequest call;
    call.service = target->service;
    call.method = request.method;
    call.path = target->path;
    call.headers = endToEndHeaders(request.headers);
    call.body = request.body;
    call.signature = requestSignature(call.service, call.method, call.path, call.body.text());
    return call;
}

void CallHandler::drain()
{
    draining_ = true;
}

int CallHandler::activeCalls() const
{
    return activeCalls_;
}

void CallHandler::handleRoot(HttpRequest request, HttpResponder respond)
{
    const auto identityText = request.headers.find(HeaderName::kRequestId);
    const auto refuse = [&](ErrorKind kind) { respond(identityText ? resendRefusal(kind) : refusal(kind)); };
    // A resend is still accepted while draining, since this process may hold the record of its identity.
    if (draining_ && !identityText) {
        refuse(ErrorKind::Draining);
        return;
    }
    const ConfigurationPtr configuration = services_.tables.configuration.current();
    if (!configuration || !gate_.mayServe()) {
        refuse(ErrorKind::RulesNotFresh);
        return;
    }
    Result<CallRequest> call = parseCall(request, *configuration);
    if (!call) {
        refuse(call.error());
        return;
    }
    const RequestClass &requestClass = classify(configuration->rules, call->service, call->method, call->path);
    const Result<Millis> deadline = deadlineOf(request, requestClass);
    if (!deadline) {
        refuse(deadline.error());
        return;
    }
    const std::optional<RequestIdentity> identity = identityText ? parseRequestIdentity(*identityText) : std::nullopt;
    if (identityText && !identity) {
        refuse(ErrorKind::BadRequest);
        return;
    }
    // The identity in the response lets the caller resend the same user action.
    const RequestIdentity effectiveIdentity =
        identity ? *identity : services_.tables.arbiter.with([](Arbiter &arbiter) { return arbiter.issue(); });
    const std::string identityName = formatRequestIdentity(effectiveIdentity);
    const TimePoint started = services_.clock.now();
    call->root = {requestClass.name, requestClass.rank, static_cast<int>(stableHash(identityName) % kBuckets),
                  identity};
    call->repeatable = requestClass.repeatable;
    call->deadline = started + *deadline;
    call->attemptBudget = kAttemptsPerUserAction;
    ++activeCalls_;
    coordinator_.run(
        std::move(*call),
        [this, respond = std::move(respond), identityName, started, className = requestClass.name](CallResult result) {
            const std::optional<ErrorKind> error =
                result.response ? std::nullopt : std::optional(result.response.error());
            services_.tables.metrics.recordCall(className, error, services_.clock.now() - started);
            HttpResponse response = encodeForCaller(std::move(result));
            response.headers.set(HeaderName::kRequestId, identityName);
            respond(std::move(response));
            --activeCalls_;
        });
}

void CallHandler::handleChild(AttemptId context, HttpRequest request, HttpResponder respond)
{
    const ConfigurationPtr configuration = services_.tables.configuration.current();
    if (!configuration || !gate_.mayServe()) {
        respond(resendRefusal(ErrorKind::RulesNotFresh));
        return;
    }
    Result<CallRequest> call = parseCall(request, *configuration);
    if (!call) {
        respond(resendRefusal(call.error()));
        return;
    }
    const int peak =
        services_.routing.with([&](const RoutingTable &routing) { return routing.recentPeak(call->service); });
    const ChildKey key = childKey(request, *call);
    std::optional<ChildCall> child =
        services_.tables.scopes.with([&](CallScopeTable &scopes) { return scopes.beginChild(context, key, peak); });
    if (!child) {
        // The attempt has ended, so nobody waits for the result of this call.
        respond(resendRefusal(ErrorKind::DeadlineBeforeRun));
        return;
    }
    const bool repeatable = classify(configuration->rules, call->service, call->method, call->path).repeatable;
    call->root = child->root;
    call->callPath = child->callPath;
    call->deadline = child->deadline;
    call->repeatable = repeatable;
    call->attemptBudget = child->granted;
    ++activeCalls_;
    coordinator_.run(std::move(*call),
                     [this, respond = std::move(respond), context, repeatable, child = *child](CallResult result) {
                         services_.tables.scopes.with(
                             [&](CallScopeTable &scopes) { scopes.endChild(context, child, result, repeatable); });
                         respond(encodeForCaller(std::move(result)));
                         --activeCalls_;
                     });
}

} // namespace Hibiscus
