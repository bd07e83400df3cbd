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

/** Attempts that the root call takes at once; the rest is kept for resends while it runs and for claims below it. */
constexpr int kRootAttempts = kAttemptsPerUserAction - 8;
/** Time between two looks at a claim that another request holds. */
constexpr Millis kWaitInterval{20};
/** Wait before a call is handed to its arbiter again after the connection was lost. */
constexpr Millis kForwardInterval{100};

CallAnswer fromStored(const StoredAnswer &stored)
{
    HttpResponse response;
    response.status = stored.status;
    for (const auto &[name, value] : stored.headers) {
        response.headers.add(name, value);
    }
    response.body = stored.body;
    CallAnswer answer;
    answer.response = std::move(response);
    answer.spent = 0;
    return answer;
}

template<class Function>
void after(asio::io_context &context, Millis delay, Function function)
{
    const auto timer = std::make_shared<asio::steady_timer>(context, toChrono(delay));
    timer->async_wait([timer, function = std::move(function)](const asio::error_code &error) {
        if (!error) {
            function();
        }
    });
}

} // namespace

/** A call that runs, or waits, under an identity arbitrated by this process. */
struct CallCoordinator::Claim {
    CallRequest call;
    CallCallback callback;
    ClaimId id;
    std::atomic<bool> answered{false};
    std::atomic<bool> mayHaveRun{false}; ///< An earlier send of the same user action may have run.

    void answer(CallAnswer result)
    {
        if (!answered.exchange(true)) {
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
        callback(failedAnswer(ErrorKind::IdentityRequired));
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
    const auto owner = std::make_shared<Claim>();
    owner->call = std::move(call);
    owner->callback = std::move(callback);
    owner->id = ClaimId(services_.random.with([](DeviceRandom &random) { return random.next(); }));
    claim(owner);
}

void CallCoordinator::forward(CallRequest call, CallCallback callback)
{
    const HostAddress arbiter = call.root.identity->arbiter;
    HttpCallOptions options;
    options.responseTimeout = call.deadline - services_.clock.now() + kForwardInterval;
    if (options.responseTimeout.value <= 0) {
        callback(failedAnswer(ErrorKind::DeadlineExceeded));
        return;
    }
    HttpRequest request = encodeCall({CallPurpose::Coordinate, {}, {}, {}, {}, call}, services_.clock);
    services_.client.send(
        arbiter, std::move(request), options,
        [this, call = std::move(call), callback = std::move(callback)](HttpResult result) mutable {
            if (result) {
                callback(decodeAnswer(std::move(*result)));
                return;
            }
            if (result.error() == TransportError::ConnectFailed) {
                // The process that knows about earlier attempts is gone or out of reach.
                callback(failedAnswer(ErrorKind::ArbiterLost));
                return;
            }
            if (services_.clock.now() + kForwardInterval >= call.deadline) {
                callback(failedAnswer(ErrorKind::DeadlineExceeded));
                return;
            }
            // Handing the call over again is safe, since the arbiter joins it with the earlier one.
            after(services_.context, kForwardInterval,
                  [this, call = std::move(call), callback = std::move(callback)] { forward(call, callback); });
        });
}

void CallCoordinator::claim(const std::shared_ptr<Claim> &claim)
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
        attempt(claim, result.attempts);
        return;
    case ClaimState::Wait:
        waitForOther(claim);
        return;
    case ClaimState::Completed:
        claim->answer(fromStored(*result.answer));
        return;
    case ClaimState::Refused:
        claim->answer(failedAnswer(*result.error));
        return;
    }
}

void CallCoordinator::waitForOther(const std::shared_ptr<Claim> &waiting)
{
    if (services_.clock.now() >= waiting->call.deadline) {
        waiting->answer(failedAnswer(ErrorKind::InProgress));
        return;
    }
    after(services_.context, kWaitInterval, [this, waiting] { claim(waiting); });
}

void CallCoordinator::attempt(const std::shared_ptr<Claim> &owner, int attempts)
{
    CallRequest call = owner->call;
    if (call.callPath.empty()) {
        call.allowance = attempts;
    }
    if (!call.repeatable) {
        // The attempt is awaited beyond the deadline to learn its outcome, but the caller is answered in time.
        armDeadline(owner);
    }
    std::make_shared<CallAttempts>(services_, std::move(call), [this, owner, attempts](CallAnswer answer) {
        settle(*owner, attempts, answer);
        owner->answer(std::move(answer));
    })->start();
}

void CallCoordinator::armDeadline(const std::shared_ptr<Claim> &owner)
{
    after(services_.context, owner->call.deadline - services_.clock.now(), [owner] {
        if (!owner->answered) {
            owner->answer(failedAnswer(ErrorKind::DeadlineExceeded));
        }
    });
}

void CallCoordinator::settle(const Claim &owner, int attempts, const CallAnswer &answer)
{
    const CallRequest &call = owner.call;
    const RequestIdentity &identity = *call.root.identity;
    const Outcome outcome = answer.outcome();
    services_.tables.arbiter.with([&](Arbiter &arbiter) {
        if (outcome == Outcome::Unknown && !call.repeatable) {
            arbiter.markUnknown(identity, call.callPath, owner.id, answer.response.error());
            return;
        }
        if (outcome == Outcome::Completed && !call.repeatable) {
            const HttpResponse &response = *answer.response;
            arbiter.complete(identity, call.callPath, owner.id,
                             {response.status, response.headers.fields(), response.body});
        } else if (outcome == Outcome::NotRun) {
            arbiter.markNotRun(identity, call.callPath, owner.id);
        } else {
            arbiter.markRepeatable(identity, call.callPath, owner.id);
        }
        if (outcome == Outcome::Unknown) {
            return;
        }
        const int used = call.callPath.empty() ? answer.spent.value_or(attempts) : 0;
        arbiter.returnAttempts(identity, owner.id, attempts - used);
    });
}

} // namespace Hibiscus
