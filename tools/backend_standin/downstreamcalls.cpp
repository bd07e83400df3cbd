#include "backend_standin/downstreamcalls.h"

#include "backend_standin/responsetree.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

constexpr const char *kContextHeader = "Hibiscus-Context";
constexpr const char *kDeadlineHeader = "Hibiscus-Deadline-Ms";

bool isSuccess(const HttpResult &result)
{
    return result && result->status >= 200 && result->status < 300;
}

} // namespace

DownstreamCalls::DownstreamCalls(BackendCore &core, BackendRoute route, RequestMetadata parent, Callback callback)
    : core_(core)
    , route_(std::move(route))
    , parent_(std::move(parent))
    , callback_(std::move(callback))
    , responseBodies_(route_.calls.size())
    , activeCalls_(route_.calls.size())
    , firstServers_(route_.calls.size())
    , pendingCalls_(route_.calls.size())
{
}

void DownstreamCalls::start()
{
    if (pendingCalls_ == 0) {
        finish(true);
        return;
    }
    const std::size_t initialCalls = route_.parallel ? pendingCalls_ : 1;
    for (std::size_t i = 0; i < initialCalls && callback_; ++i) {
        firstServers_[i] = core_.random();
        send(i, 0);
    }
}

void DownstreamCalls::cancel()
{
    callback_ = nullptr;
    for (const std::shared_ptr<HttpCall> &call : activeCalls_) {
        if (call) {
            call->cancel();
        }
    }
}

void DownstreamCalls::send(std::size_t index, int attempt)
{
    const std::optional<HostAddress> address = addressFor(index, attempt);
    if (!address) {
        ++core_.counters.failedCalls;
        finish(false);
        return;
    }
    HttpCallOptions options;
    options.responseTimeout = responseTimeout();
    activeCalls_[index] = core_.client.send(*address, makeRequest(index), options,
                                            [self = shared_from_this(), index, attempt](const HttpResult &result) {
                                                self->handleResult(index, attempt, result);
                                            });
}

void DownstreamCalls::handleResult(std::size_t index, int attempt, const HttpResult &result)
{
    activeCalls_[index].reset();
    if (!callback_) {
        return;
    }
    if (!isSuccess(result)) {
        ++core_.counters.failedCalls;
        const bool direct = !core_.settings.direct.empty();
        if (direct && attempt < core_.settings.directRetries) {
            send(index, attempt + 1);
            return;
        }
        finish(false);
        return;
    }
    const std::string tag = childTag(parent_.tag, index);
    if (!isCompleteResponse(result->body, tag, tag)) {
        ++core_.counters.wrongResponses;
        finish(false);
        return;
    }
    responseBodies_[index] = result->body;
    --pendingCalls_;
    if (pendingCalls_ == 0) {
        finish(true);
    } else if (!route_.parallel) {
        firstServers_[index + 1] = core_.random();
        send(index + 1, 0);
    }
}

void DownstreamCalls::finish(bool succeeded)
{
    const Callback callback = std::exchange(callback_, nullptr);
    if (!callback) {
        return;
    }
    cancel();
    callback(succeeded ? std::optional(std::move(responseBodies_)) : std::nullopt);
}

HttpRequest DownstreamCalls::makeRequest(std::size_t index) const
{
    const DownstreamCall &call = route_.calls[index];
    const bool direct = !core_.settings.direct.empty();
    HttpRequest request;
    request.method = call.method;
    request.target = direct ? call.path : "/svc/" + call.service.value() + call.path;
    const std::string tag = childTag(parent_.tag, index);
    request.headers.add(kTagHeader, tag);
    request.headers.add(kCallPathHeader, parent_.callPath);
    if (parent_.context) {
        request.headers.add(kContextHeader, *parent_.context);
    }
    if (direct && parent_.deadline) {
        request.headers.add(kDeadlineHeader, fmt::format("{:.0f}", responseTimeout().value));
    }
    request.body = tag;
    return request;
}

std::optional<HostAddress> DownstreamCalls::addressFor(std::size_t index, int attempt)
{
    if (core_.settings.direct.empty()) {
        const HostAddress &local = core_.settings.localListener;
        return local.value().empty() ? std::nullopt : std::optional(local);
    }
    const auto found = core_.settings.direct.find(route_.calls[index].service);
    if (found == core_.settings.direct.end() || found->second.empty()) {
        return std::nullopt;
    }
    return found->second[(firstServers_[index] + static_cast<std::size_t>(attempt)) % found->second.size()];
}

Millis DownstreamCalls::responseTimeout() const
{
    if (!parent_.deadline) {
        return core_.settings.downstreamTimeout;
    }
    return std::clamp(*parent_.deadline - core_.clock.now(), Millis{1}, core_.settings.downstreamTimeout);
}

} // namespace Hibiscus
