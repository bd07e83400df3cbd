#include "platform/httpobjectstore.h"

#include "core/chronotime.h"

#include "platform/objectprotocol.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kStopInterval(10);

enum class CallKind {
    Read,
    Write,
};

/** Error of a call without a usable answer. */
StoreError errorWithoutAnswer(CallKind kind)
{
    return kind == CallKind::Write ? StoreError::Ambiguous : StoreError::Unavailable;
}

StoreError errorOfTransport(httplib::Error error, CallKind kind)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        // There was no connection, hence no write.
        return StoreError::Unavailable;
    default:
        return errorWithoutAnswer(kind);
    }
}

/** Error stated by an answer; an answer that isn't the platform's own says nothing about the write. */
StoreError errorOfAnswer(const httplib::Response &response, CallKind kind)
{
    const std::optional<StoreError> stated = storeErrorFromName(response.get_header_value(kErrorHeader));
    return stated ? *stated : errorWithoutAnswer(kind);
}

std::optional<std::uint64_t> versionOf(const httplib::Response &response)
{
    return parseVersionTag(response.get_header_value("ETag"));
}

httplib::Headers writeHeaders(std::uint64_t expectedVersion, const std::optional<Fence> &fence)
{
    httplib::Headers headers;
    if (expectedVersion == 0) {
        headers.emplace("If-None-Match", "*");
    } else {
        headers.emplace("If-Match", formatVersionTag(expectedVersion));
    }
    if (fence) {
        headers.emplace(kLeaseHeader, percentEncode(fence->lease));
        headers.emplace(kFencingHeader, std::to_string(fence->number));
    }
    return headers;
}

} // namespace

class HttpObjectStore::Private
{
public:
    explicit Private(HttpObjectStoreSettings storeSettings)
        : settings(std::move(storeSettings))
    {
    }

    /** Makes one call on a connection of its own; @p send gets the client. */
    template<class Send>
    StoreResult<httplib::Response> call(CallKind kind, Millis extraWait, Send send)
    {
        httplib::Client client("http://" + settings.address.value());
        client.set_connection_timeout(toChrono(settings.connectTimeout));
        client.set_read_timeout(toChrono(settings.answerTimeout + extraWait));
        client.set_write_timeout(toChrono(settings.answerTimeout));
        client.set_keep_alive(false);
        client.set_tcp_nodelay(true);
        client.set_url_encode(false);
        if (!settings.localAddress.empty()) {
            client.set_interface(settings.localAddress);
        }
        if (!enter(&client)) {
            return tl::unexpected(StoreError::Unavailable);
        }
        const httplib::Result result = send(client);
        leave(&client);
        if (!result) {
            return tl::unexpected(errorOfTransport(result.error(), kind));
        }
        if (result->status >= 300 && result->status != kNotModified) {
            return tl::unexpected(errorOfAnswer(*result, kind));
        }
        return *result;
    }

    StoreResult<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
                                   const std::optional<Fence> &fence)
    {
        if (value.size() > kMaximumValueBytes) {
            return tl::unexpected(StoreError::TooLarge);
        }
        const auto answer = call(CallKind::Write, {}, [&](httplib::Client &client) {
            return client.Put(objectTarget(key), writeHeaders(expectedVersion, fence), value,
                              "application/octet-stream");
        });
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        const std::optional<std::uint64_t> version = versionOf(*answer);
        if (!version) {
            return tl::unexpected(StoreError::Ambiguous);
        }
        return *version;
    }

    StoreResult<Lease> changeLease(const Lease &lease, const std::string &operation)
    {
        const std::string body =
            Json::object({{"holder", lease.holder}, {"fencing", lease.fencing}, {"duration_ms", lease.duration.value}})
                .dump();
        const auto answer = call(CallKind::Write, {}, [&](httplib::Client &client) {
            return client.Post(leaseTarget(lease.name, operation), body, "application/json");
        });
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        const Json granted = Json::parse(answer->body, nullptr, false);
        if (!granted.is_object() || !granted.contains("fencing") || !granted["fencing"].is_number_unsigned()) {
            return tl::unexpected(StoreError::Ambiguous);
        }
        Lease changed = lease;
        changed.fencing = granted["fencing"].get<std::uint64_t>();
        return changed;
    }

    /** Returns when no call runs any more. */
    void interruptAll()
    {
        std::unique_lock lock(mutex_);
        interrupted_ = true;
        while (!running_.empty()) {
            for (httplib::Client *client : running_) {
                client->stop();
            }
            // stop() has no effect on a client that is still connecting, hence the repetition.
            left_.wait_for(lock, kStopInterval);
        }
    }

    HttpObjectStoreSettings settings;

private:
    bool enter(httplib::Client *client)
    {
        const std::lock_guard lock(mutex_);
        if (interrupted_) {
            return false;
        }
        running_.insert(client);
        return true;
    }

    void leave(httplib::Client *client)
    {
        const std::lock_guard lock(mutex_);
        running_.erase(client);
        left_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable left_;
    std::set<httplib::Client *> running_;
    bool interrupted_ = false;
};

HttpObjectStore::HttpObjectStore(HttpObjectStoreSettings settings)
    : d_(std::make_unique<Private>(std::move(settings)))
{
    // cpp-httplib's client writes without MSG_NOSIGNAL, so a connection closed by the platform would end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

HttpObjectStore::~HttpObjectStore() = default;

StoreResult<StoredObject> HttpObjectStore::get(const std::string &key)
{
    const auto answer =
        d_->call(CallKind::Read, {}, [&](httplib::Client &client) { return client.Get(objectTarget(key)); });
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    const std::optional<std::uint64_t> version = versionOf(*answer);
    if (!version) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return StoredObject{answer->body, *version};
}

StoreResult<std::uint64_t> HttpObjectStore::create(const std::string &key, const std::string &value,
                                                   const std::optional<Fence> &fence)
{
    return d_->put(key, value, 0, fence);
}

StoreResult<std::uint64_t> HttpObjectStore::update(const std::string &key, const std::string &value,
                                                   std::uint64_t expectedVersion, const std::optional<Fence> &fence)
{
    if (expectedVersion == 0) {
        return tl::unexpected(StoreError::Conflict);
    }
    return d_->put(key, value, expectedVersion, fence);
}

StoreResult<std::optional<StoredObject>> HttpObjectStore::watch(const std::string &key, std::uint64_t afterVersion,
                                                                Millis timeout)
{
    const std::string target =
        fmt::format("{}?after={}&wait_ms={:.0f}", objectTarget(key), afterVersion, std::max(0.0, timeout.value));
    const auto answer = d_->call(CallKind::Read, timeout, [&](httplib::Client &client) { return client.Get(target); });
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == kNotModified) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> version = versionOf(*answer);
    if (!version) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return StoredObject{answer->body, *version};
}

StoreResult<std::vector<ListedObject>> HttpObjectStore::list(const std::string &prefix)
{
    const auto answer = d_->call(CallKind::Read, {}, [&](httplib::Client &client) {
        return client.Get("/objects?prefix=" + percentEncode(prefix));
    });
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    std::optional<std::vector<ListedObject>> listed = parseListing(answer->body);
    if (!listed) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return *std::move(listed);
}

StoreResult<Lease> HttpObjectStore::acquire(const std::string &name, const std::string &holder, Millis duration)
{
    return d_->changeLease({name, holder, 0, duration}, "acquire");
}

StoreResult<Lease> HttpObjectStore::renew(const Lease &lease)
{
    return d_->changeLease(lease, "renew");
}

StoreResult<void> HttpObjectStore::release(const Lease &lease)
{
    const StoreResult<Lease> released = d_->changeLease(lease, "release");
    if (!released) {
        return tl::unexpected(released.error());
    }
    return {};
}

void HttpObjectStore::interrupt()
{
    d_->interruptAll();
}

} // namespace Hibiscus
