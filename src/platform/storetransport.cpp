#include "platform/storetransport.h"

#include "core/chronotime.h"

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <set>

#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Hibiscus
{

namespace
{

constexpr std::chrono::milliseconds kStopRetryInterval(10);
/** Keep-alive probes of an idle connection, so that a watch on a dead connection ends after about 3 s. */
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
constexpr int kUserTimeoutMillis = 3000;

StoreError errorOfTransport(httplib::Error error, StoreCallKind kind)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        // Without a connection nothing was written.
        return StoreError::Unavailable;
    default:
        return errorWithoutResponse(kind);
    }
}

void configureSocket(int socket)
{
    const int on = 1;
    // Failures are ignored: without these options calls still work, but a lost connection is noticed late.
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds, sizeof(kProbeIdleSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds, sizeof(kProbeIntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis, sizeof(kUserTimeoutMillis));
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
    explicit Private(StoreTransportSettings transportSettings)
        : settings(std::move(transportSettings))
    {
    }

    void configure(httplib::Client &client, Millis watchTimeout) const
    {
        client.set_connection_timeout(toChrono(settings.connectTimeout));
        client.set_read_timeout(toChrono(settings.responseTimeout + watchTimeout));
        client.set_write_timeout(toChrono(settings.responseTimeout));
        client.set_keep_alive(false);
        client.set_tcp_nodelay(true);
        client.set_url_encode(false);
        client.set_socket_options([](socket_t socket) { configureSocket(socket); });
        if (!settings.localAddress.empty()) {
            client.set_interface(settings.localAddress);
        }
    }

    bool addClient(httplib::Client *client)
    {
        const std::lock_guard lock(mutex);
        if (interrupted) {
            return false;
        }
        clients.insert(client);
        return true;
    }

    void removeClient(httplib::Client *client)
    {
        const std::lock_guard lock(mutex);
        clients.erase(client);
        clientRemoved.notify_all();
    }

    StoreTransportSettings settings;
    std::mutex mutex;
    std::condition_variable clientRemoved;
    std::set<httplib::Client *> clients; ///< Clients of the calls in progress.
    bool interrupted = false;
};

StoreTransport::StoreTransport(StoreTransportSettings settings)
    : d_(std::make_unique<Private>(std::move(settings)))
{
    // cpp-httplib's client writes without MSG_NOSIGNAL, so that a write to a connection closed by the platform would
    // terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

StoreTransport::~StoreTransport() = default;

StoreResult<StoreResponse> StoreTransport::call(const StoreCall &call)
{
    httplib::Client client("http://" + d_->settings.address.value());
    d_->configure(client, call.watchTimeout);
    httplib::Request request;
    request.method = call.method;
    request.path = call.target;
    request.body = call.body;
    for (const auto &[name, value] : call.headers) {
        request.headers.emplace(name, value);
    }
    if (!call.contentType.empty()) {
        request.headers.emplace("Content-Type", call.contentType);
    }
    if (!d_->addClient(&client)) {
        return tl::unexpected(StoreError::Unavailable);
    }
    const httplib::Result result = client.send(request);
    d_->removeClient(&client);
    if (!result) {
        return tl::unexpected(errorOfTransport(result.error(), call.kind));
    }
    StoreResponse response{result->status, {}, result->body};
    for (const auto &[name, value] : result->headers) {
        response.headers.emplace_back(name, value);
    }
    return response;
}

void StoreTransport::interrupt()
{
    std::unique_lock lock(d_->mutex);
    d_->interrupted = true;
    while (!d_->clients.empty()) {
        for (httplib::Client *client : d_->clients) {
            client->stop();
        }
        // stop() has no effect on a client that is still connecting, so it is called again.
        d_->clientRemoved.wait_for(lock, kStopRetryInterval);
    }
}

} // namespace Hibiscus
