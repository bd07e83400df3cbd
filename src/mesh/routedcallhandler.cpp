#include "mesh/routedcallhandler.h"

#include "core/attemptlimit.h"
#include "core/chronotime.h"
#include "core/contenthash.h"
#include "core/logevent.h"
#include "teams/fairorder.h"

#include <algorithm>

#include <asio/steady_timer.hpp>

namespace Hibiscus
{

namespace
{

constexpr int kBuckets = 128;
/** Delay after which a refused caller may retry, as a fraction of the latency target of its route. */
constexpr double kRetryAfterShare = 0.2;
/** The delay varies at random by this fraction in both directions, so that refused callers do not return together. */
constexpr double kRetryAfterJitter = 0.5;
/** The time at which a team has room again is named up to this fraction later, for the same reason. */
constexpr double kAllotmentRetryAfterSpread = 0.25;
/** Base of the delay for a request that is refused before its route is known. */
constexpr Millis kUnknownRouteRetryAfter{500};

} // namespace

struct RoutedCallHandler::Call {
    Call(asio::io_context &context)
        : timer(context)
    {
    }

    CallerRequestMetadata metadata;
    std::string routeName;
    Millis latencyTarget;
    std::uint64_t connection = 0;
    TimePoint started;
    HttpResponder respond;
    std::weak_ptr<CallAttempts> attempts; ///< Weak, since their callback refers to the call.
    asio::steady_timer timer; ///< Fires at the deadline.
    bool idempotent = false;
    AttemptId parent; ///< Attempt of the local backend server that makes this call.
    std::optional<ChildCall> child; ///< Set for a call that the local backend server makes for a request it runs.
    std::optional<TeamName> team; ///< Team that makes the call; empty for nested calls and on public routes.
    bool isCharged = false; ///< The call was taken from the allotment of its team.
    bool done = false;
};

RoutedCallHandler::RoutedCallHandler(CallServices &services, const CallerProtocol &protocol, ServiceName caller)
    : services_(services)
    , protocol_(protocol)
    , caller_(std::move(caller))
    , identifier_(services.tables.scopes)
{
}

void RoutedCallHandler::setRoutes(RouteTablePtr routes)
{
    routes_ = std::move(routes);
}

void RoutedCallHandler::setAllotmentGate(AllotmentGate *gate)
{
    gate_ = gate;
}

void RoutedCallHandler::drain()
{
    draining_ = true;
}

std::size_t RoutedCallHandler::activeCalls() const
{
    return activeCalls_;
}

void RoutedCallHandler::handle(HttpRequest request, HttpResponder respond)
{
    const auto call = std::make_shared<Call>(services_.context);
    call->respond = std::move(respond);
    call->connection = request.connection;
    call->started = services_.clock.now();
    calls_[call->connection].push_back(call);
    ++activeCalls_;
    Result<CallerRequestMetadata> metadata = protocol_.decode(request);
    if (!metadata) {
        finish(call, failedResult(metadata.error()));
        return;
    }
    call->metadata = std::move(*metadata);
    if (!routes_) {
        finish(call, failedResult(ErrorKind::RulesNotFresh));
        return;
    }
    const Route *route = routes_->find(request.host, request.target);
    if (route == nullptr) {
        finish(call, failedResult(ErrorKind::NoRoute));
        return;
    }
    call->routeName = route->name;
    call->latencyTarget = route->latencyTarget;
    call->idempotent = route->idempotent;
    const Result<CallerIdentity> identity = identifier_.identify(*routes_, *route, call->metadata);
    call->metadata.credential = {};
    if (!identity) {
        finish(call, failedResult(identity.error()));
        return;
    }
    CallRequest callRequest = makeRequest(std::move(request), *route, call->metadata, *identity);
    if (!linkToParent(*call, callRequest)) {
        finish(call, failedResult(ErrorKind::DeadlineBeforeRun));
        return;
    }
    if (identity->isNested && !call->child) {
        finish(call, failedResult(ErrorKind::ParentUnknown));
        return;
    }
    if (identity->team != nullptr) {
        call->team = identity->team->name;
    }
    startDeadlineTimer(call, callRequest.deadline - call->started);
    if (call->team && gate_ != nullptr) {
        askAllotment(call, std::move(callRequest));
        return;
    }
    run(call, std::move(callRequest));
}

void RoutedCallHandler::askAllotment(const CallPtr &call, CallRequest request)
{
    const auto shared = std::make_shared<CallRequest>(std::move(request));
    gate_->admit(*call->team, [this, call, shared](const AllotmentDecision &decision) {
        allotmentDecided(call, std::move(*shared), decision);
    });
}

void RoutedCallHandler::allotmentDecided(const CallPtr &call, CallRequest request, const AllotmentDecision &decision)
{
    if (decision.refusal) {
        CallResult result = failedResult(*decision.refusal);
        const double fraction = services_.random.with([](DeviceRandom &random) { return random.fraction(); });
        result.retryAfter = decision.retryAfter * (1 + kAllotmentRetryAfterSpread * fraction);
        finish(call, std::move(result));
        return;
    }
    if (call->done) {
        // The caller has left, or its deadline has passed, while another daemon decided.
        gate_->giveBack(*call->team);
        return;
    }
    call->isCharged = true;
    request.root.bucket = fairBucket(stableHash(request.requestId), decision.usedShare);
    run(call, std::move(request));
}

void RoutedCallHandler::run(const CallPtr &call, CallRequest request)
{
    const auto attempts = std::make_shared<CallAttempts>(
        services_, std::move(request), [this, call](CallResult result) { finish(call, std::move(result)); });
    call->attempts = attempts;
    attempts->start();
}

CallRequest RoutedCallHandler::makeRequest(HttpRequest request, const Route &route,
                                           const CallerRequestMetadata &metadata, const CallerIdentity &identity) const
{
    const std::uint64_t hash = stableHash(metadata.requestId);
    CallRequest call;
    call.service = chooseTarget(route, hash);
    call.method = std::move(request.method);
    call.path = std::move(request.target);
    call.headers = protocol_.forwardedHeaders(request, describe(identity));
    call.host = std::move(request.host);
    call.body = std::move(request.body);
    call.root.requestClass = ClassName(route.name);
    call.root.rank = routes_->ranks().rankOf(route, identity.team);
    call.root.bucket = static_cast<int>(hash / kBuckets % kBuckets);
    call.repeatable = route.idempotent;
    call.deadline = services_.clock.now() + std::min(route.timeout, metadata.timeout.value_or(route.timeout));
    call.requestId = metadata.requestId;
    call.route = route.name;
    call.attemptBudget = kAttemptsPerUserAction;
    call.routeSettings = RouteSettings{route.attempts, route.latencyTarget};
    call.signature = requestSignature(call.service, call.method, call.path, call.body.text());
    return call;
}

CallerDescription RoutedCallHandler::describe(const CallerIdentity &identity) const
{
    CallerDescription caller{caller_, {}, routes_->configuration().teams.needsKeys()};
    if (identity.team != nullptr) {
        caller.team = identity.team->name;
    }
    return caller;
}

/** Lets a nested call inherit rank, deadline and attempt budget from the request for which the local backend server
 * makes it. False if that request was abandoned, so that nobody waits for the result of the call. */
bool RoutedCallHandler::linkToParent(Call &call, CallRequest &request)
{
    if (call.metadata.parentId.empty()) {
        return true;
    }
    bool isAbandoned = false;
    const int peak =
        services_.routing.with([&](const RoutingTable &routing) { return routing.recentPeak(request.service); });
    services_.tables.scopes.with([&](CallScopeTable &scopes) {
        const std::optional<AttemptId> parent = scopes.find(call.metadata.parentId);
        if (!parent) {
            isAbandoned = scopes.isAbandoned(call.metadata.parentId);
            return;
        }
        call.parent = *parent;
        call.child = scopes.beginChild(*parent, {"h" + std::to_string(request.signature.value()), false}, peak);
    });
    if (!call.child) {
        return !isAbandoned;
    }
    request.root = call.child->root;
    request.callPath = call.child->callPath;
    request.deadline = std::min(request.deadline, call.child->deadline);
    request.attemptBudget = call.child->granted;
    return true;
}

void RoutedCallHandler::startDeadlineTimer(const CallPtr &call, Millis delay)
{
    call->timer.expires_after(toChrono(delay));
    call->timer.async_wait([this, call](const asio::error_code &error) {
        if (error || call->done) {
            return;
        }
        if (const auto attempts = call->attempts.lock()) {
            attempts->expire();
            return;
        }
        finish(call, failedResult(ErrorKind::DeadlineBeforeRun));
    });
}

void RoutedCallHandler::connectionClosed(std::uint64_t connection)
{
    const auto found = calls_.find(connection);
    if (found == calls_.end()) {
        return;
    }
    const std::vector<CallPtr> calls = std::move(found->second);
    calls_.erase(found);
    for (const CallPtr &call : calls) {
        if (call->done) {
            continue;
        }
        if (const auto attempts = call->attempts.lock()) {
            attempts->cancel();
        } else {
            finish(call, failedResult(ErrorKind::Cancelled));
        }
    }
}

void RoutedCallHandler::finish(const CallPtr &call, CallResult result)
{
    if (call->done) {
        return;
    }
    call->done = true;
    call->timer.cancel();
    --activeCalls_;
    if (const auto found = calls_.find(call->connection); found != calls_.end()) {
        std::erase(found->second, call);
        if (found->second.empty()) {
            calls_.erase(found);
        }
    }
    if (call->child) {
        services_.tables.scopes.with(
            [&](CallScopeTable &scopes) { scopes.endChild(call->parent, *call->child, result, call->idempotent); });
    }
    const std::optional<ErrorKind> error = result.response ? std::nullopt : std::optional(result.response.error());
    services_.tables.metrics.recordCall(ClassName(call->routeName), error, services_.clock.now() - call->started);
    if (call->team) {
        services_.tables.metrics.recordTeamCall(*call->team, error);
    }
    if (result.outcome() == Outcome::NotRun) {
        result.retryAfter = std::max(result.retryAfter.value_or(Millis{0}), retryAfterDelay(call->latencyTarget));
    }
    if (call->isCharged && result.outcome() == Outcome::NotRun) {
        gate_->giveBack(*call->team);
    }
    logFailure(*call, result);
    HttpResponse response = protocol_.encode(call->metadata, std::move(result));
    response.closesConnection = draining_;
    HttpResponder respond = std::move(call->respond);
    call->attempts.reset();
    respond(std::move(response));
}

/** Logs a request that ends without a response of a backend server. Other requests are not logged, since their callers
 * have received what they asked for. */
void RoutedCallHandler::logFailure(const Call &call, const CallResult &result) const
{
    if (result.response) {
        return;
    }
    const ErrorKind kind = result.response.error();
    const LogEvent event = kind == ErrorKind::Cancelled ? LogEvent::RequestCancelled
        : result.outcome() == Outcome::NotRun           ? LogEvent::RequestRefused
                                                        : LogEvent::RequestFailed;
    logEvent(event, "",
             {{"request", call.metadata.requestId},
              {"route", call.routeName},
              {"kind", errorResponseFor(kind).name},
              {"nested", call.child ? 1 : 0},
              {"ageMs", services_.clock.now() - call.started},
              {"retryAfterMs", result.retryAfter.value_or(Millis{0})},
              {"subtreeLevel", result.subtreeLevel.value_or(0)},
              {"configuration", routes_ ? routes_->configuration().version.value() : 0}});
}

Millis RoutedCallHandler::retryAfterDelay(Millis latencyTarget)
{
    const Millis base = latencyTarget > Millis{0} ? latencyTarget * kRetryAfterShare : kUnknownRouteRetryAfter;
    const double fraction = services_.random.with([](DeviceRandom &random) { return random.fraction(); });
    return base * (1 - kRetryAfterJitter + 2 * kRetryAfterJitter * fraction);
}

} // namespace Hibiscus
