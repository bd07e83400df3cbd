#include "daemon/callcoordinator.h"

#include "core/chronotime.h"

#include "daemon/callattempts.h"
#include "daemon/callmessage.h"
#include "daemon/headernames.h"

#include <algorithm>
#include <atomic>
#include <chrono>

#include <asio/steady_timer.hpp>

namespace Hibiscus
{

namespace
{

/** Attempts granted to a root call at first; the others are kept for resends while it runs and for claims below it. */
constexpr int kRootAttempts = kAttemptsPerUserAction - 8;
/** Time between two requests for a claim that another send of the same call holds. */
constexpr Millis kClaimRetryInterval{20};
/** Wait before a call is forwarded to its arbiter again after the connection was lost. */
constexpr Millis kForwardRetryInterval{100};

CallResult resultFromStored(const StoredResponse &stored)
{
    HttpResponse response;
    response.status = stored.status;
    for (const auto &[name, value] : stored.headers) {
        response.headers.add(name, value);
    }
    response.body = stored.body;
    CallResult result;
    result.response = std::move(response);
    result.spent = 0;
    return result;
}

template<class Function>
void runAfter(asio::io_context &context, Millis delay, Function function)
{
    const auto timer = std::make_shared<asio::steady_timer>(context, toChrono(delay));
    timer->async_wait([timer, function = std::move(function)](const asio::error_code &error) {
        if (!error) {
            function();
        }
    });
}

} // namespace

/** A call that runs, or waits for a claim, under an identity arbitrated by this process. */
struct CallCoordinator::Claim {
    CallRequest call;
    CallCallback callback;
    ClaimId id;
    std::atomic<bool> responded{false};
    std::atomic<bool> mayHaveRun{false}; ///< An earlier send of the same user action may have run.

    void respond(CallResult result)
    {
        if (!responded.exchange(true)) {
            if (mayHaveRun && result.outcome() == Outcome::NotRun) {
                result.response = tl::unexpected(ErrorKind::ResendRefused);
            }
            callback(std::move(result));
        }
    }
};

CallCoordinator::CallCoordinator(CallServices &services)
    : services_(services)
{
}

void CallCoordinator::run(CallRequest call, CallCallback callback)
{
    const std::optional<RequestIdentity> &identity = call.root.identity;
    const bool isRoot = call.callPath.empty();
    if (!identity && !call.repeatable) {
        callback(failedResult(ErrorKind::IdentityRequired));
        return;
    }
    if (!identity || (!isRoot && call.repeatable)) {
        std::make_shared<CallAttempts>(services_, std::move(call), std::move(callback))->start();
        return;
    }
    if (identity->arbiter != services_.self.peers) {
        forward(std::move(call), std::move(callback));
        return;
    }
    const auto claim = std::make_shared<Claim>();
    claim->call = std::move(call);
    claim->callback = std::move(callback);
    claim->id = ClaimId(services_.random.with([](DeviceRandom &random) { return random.next(); }));
    requestClaim(claim);
}

void CallCoordinator::forward(CallRequest call, CallCallback callback)
{
    const HostAddress arbiter = call.root.identity->arbiter;
    HttpCallOptions options;
    options.responseTimeout = call.deadline - services_.clock.now() + kForwardRetryInterval;
    if (options.responseTimeout.value <= 0) {
        callback(failedResult(ErrorKind::DeadlineExceeded));
        return;
    }
    HttpRequest request = encodeCall({CallPurpose::Coordinate, {}, {}, {}, {}, call, {}}, services_.clock);
    services_.client.send(
        arbiter, request, options,
        [this, call = std::move(call), callback = std::move(callback)](HttpResult result) mutable {
            if (result) {
                callback(decodeResult(std::move(*result)));
                return;
            }
            if (result.error() == TransportError::ConnectFailed) {
                // The process that knows about earlier attempts has ended or is unreachable.
                callback(failedResult(ErrorKind::ArbiterLost));
                return;
            }
            if (services_.clock.now() + kForwardRetryInterval >= call.deadline) {
                callback(failedResult(ErrorKind::DeadlineExceeded));
                return;
            }
            // Forwarding the call again is safe, since the arbiter joins it with the earlier one.
            runAfter(services_.context, kForwardRetryInterval,
                     [this, call = std::move(call), callback = std::move(callback)] { forward(call, callback); });
        });
}

void CallCoordinator::requestClaim(const std::shared_ptr<Claim> &claim)
{
    const CallRequest &call = claim->call;
    const bool isRoot = call.callPath.empty();
    const ClaimResult result = services_.tables.arbiter.with([&](Arbiter &arbiter) {
        return arbiter.claim(*call.root.identity, call.callPath, call.signature, claim->id, isRoot ? kRootAttempts : 1);
    });
    if (result.mayHaveRun) {
        claim->mayHaveRun = true;
    }
    switch (result.state) {
    case ClaimState::Granted:
        startAttempts(claim, result.attempts);
        return;
    case ClaimState::Wait:
        retryClaimLater(claim);
        return;
    case ClaimState::Completed:
        claim->respond(resultFromStored(*result.response));
        return;
    case ClaimState::Refused:
        claim->respond(failedResult(*result.error));
        return;
    }
}

void CallCoordinator::retryClaimLater(const std::shared_ptr<Claim> &claim)
{
    if (services_.clock.now() >= claim->call.deadline) {
        claim->respond(failedResult(ErrorKind::InProgress));
        return;
    }
    runAfter(services_.context, kClaimRetryInterval, [this, claim] { requestClaim(claim); });
}

void CallCoordinator::startAttempts(const std::shared_ptr<Claim> &claim, int attempts)
{
    CallRequest call = claim->call;
    if (call.callPath.empty()) {
        call.attemptBudget = attempts;
    }
    if (!call.repeatable) {
        // The outcome of the attempt is awaited beyond the deadline, but the caller gets its response in time.
        startDeadlineTimer(claim);
    }
    std::make_shared<CallAttempts>(services_, std::move(call), [this, claim, attempts](CallResult result) {
        settleClaim(*claim, attempts, result);
        claim->respond(std::move(result));
    })->start();
}

void CallCoordinator::startDeadlineTimer(const std::shared_ptr<Claim> &claim)
{
    runAfter(services_.context, claim->call.deadline - services_.clock.now(), [claim] {
        if (!claim->responded) {
            claim->respond(failedResult(ErrorKind::DeadlineExceeded));
        }
    });
}

void CallCoordinator::settleClaim(const Claim &claim, int attempts, const CallResult &result)
{
    const CallRequest &call = claim.call;
    const RequestIdentity &identity = *call.root.identity;
    const Outcome outcome = result.outcome();
    services_.tables.arbiter.with([&](Arbiter &arbiter) {
        if (outcome == Outcome::Unknown && !call.repeatable) {
            arbiter.markUnknown(identity, call.callPath, claim.id, result.response.error());
            return;
        }
        if (outcome == Outcome::Completed && !call.repeatable) {
            const HttpResponse &response = *result.response;
            arbiter.complete(identity, call.callPath, claim.id,
                             {response.status, response.headers.fields(), response.body});
        } else if (outcome == Outcome::NotRun) {
            arbiter.markNotRun(identity, call.callPath, claim.id);
        } else {
            arbiter.markRepeatable(identity, call.callPath, claim.id);
        }
        if (outcome == Outcome::Unknown) {
            return;
        }
        const int used = call.callPath.empty() ? result.spent.value_or(attempts) : 0;
        arbiter.returnAttempts(identity, claim.id, attempts - used);
    });
}

} // namespace Hibiscus
