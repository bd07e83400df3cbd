#include "platform/storetransport.h"

#include "http/blockingcall.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <strings.h>

namespace Hibiscus
{

namespace
{

/** Largest response that is read, in bytes. */
constexpr std::size_t kMaximumResponseBytes = 32U << 20U;

StoreError errorOfTransport(TransportError error, StoreCallKind kind)
{
    switch (error) {
    case TransportError::ConnectFailed:
    case TransportError::NotBegun:
        return StoreError::Unavailable;
    case TransportError::Lost:
    case TransportError::MalformedResponse:
    case TransportError::TimedOut:
        break;
    }
    return errorWithoutResponse(kind);
}

HttpRequest makeRequest(const StoreCall &call)
{
    HttpRequest request{call.method, call.target, {}, call.body};
    for (const auto &[name, value] : call.headers) {
        request.headers.add(name, value);
    }
    if (!call.contentType.empty()) {
        request.headers.set("Content-Type", call.contentType);
    }
    return request;
}

} // namespace

std::string StoreResponse::header(const std::string &name) const
{
    for (const auto &[field, value] : headers) {
        if (strcasecmp(field.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

StoreError errorWithoutResponse(StoreCallKind kind)
{
    return kind == StoreCallKind::Write ? StoreError::Ambiguous : StoreError::Unavailable;
}

class StoreTransport::Private
{
public:
    using CallPtr = std::shared_ptr<HttpCall>;

    HttpCallOptions options(Millis watchTimeout) const
    {
        HttpCallOptions result;
        result.connectTimeout = settings.connectTimeout;
        result.responseTimeout = settings.responseTimeout + watchTimeout;
        result.renewsTimeout = true;
        result.probesPeer = true;
        result.localAddress = settings.localAddress;
        result.maximumBodyBytes = kMaximumResponseBytes;
        return result;
    }

    bool addCall(const CallPtr &call)
    {
        const std::lock_guard lock(mutex);
        if (interrupted) {
            return false;
        }
        calls.insert(call);
        return true;
    }

    void removeCall(const CallPtr &call)
    {
        const std::lock_guard lock(mutex);
        calls.erase(call);
        callRemoved.notify_all();
    }

    StoreTransportSettings settings;
    std::mutex mutex;
    std::condition_variable callRemoved;
    std::set<CallPtr> calls; ///< In progress.
    bool interrupted = false;
};

StoreTransport::StoreTransport(StoreTransportSettings settings)
    : d_(std::make_unique<Private>())
{
    d_->settings = std::move(settings);
}

StoreTransport::~StoreTransport() = default;

StoreResult<StoreResponse> StoreTransport::call(const StoreCall &call)
{
    BlockingCall http(d_->settings.address, makeRequest(call), d_->options(call.watchTimeout));
    if (!d_->addCall(http.handle())) {
        return tl::unexpected(StoreError::Unavailable);
    }
    HttpResult result = http.run();
    d_->removeCall(http.handle());
    if (!result) {
        return tl::unexpected(errorOfTransport(result.error(), call.kind));
    }
    return StoreResponse{result->status, result->headers.fields(), std::move(result->body)};
}

void StoreTransport::interrupt()
{
    std::unique_lock lock(d_->mutex);
    d_->interrupted = true;
    for (const Private::CallPtr &call : d_->calls) {
        call->cancel();
    }
    d_->callRemoved.wait(lock, [this] { return d_->calls.empty(); });
}

} // namespace Hibiscus
