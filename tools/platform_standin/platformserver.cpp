#include "platform_standin/platformserver.h"

#include "platform/objectprotocol.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

/** Calls time out at the client, not in the store. */
constexpr Millis kNoCallTimeout{std::numeric_limits<float>::max()};
/** Longer waits are shortened to this, as in a real service. */
constexpr Millis kMaximumWatchDuration{60000};
constexpr std::size_t kMaximumPayloadBytes = 2 * kMaximumValueBytes;

void respondWithError(httplib::Response &response, StoreError error)
{
    if (error == StoreError::Ambiguous) {
        DroppingServer::dropCurrentConnection();
    }
    response.status = statusOf(error);
    response.set_header(kErrorHeader, std::string(storeErrorName(error)));
}

void respondBadRequest(httplib::Response &response, const std::string &reason)
{
    response.status = 400;
    response.set_content(reason + "\n", "text/plain");
}

void respondWithObject(httplib::Response &response, const StoredObject &object)
{
    response.set_header("ETag", formatVersionTag(object.version));
    response.set_content(object.value, "application/octet-stream");
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    return parseVersionTag("\"" + text + "\"");
}

/** Returns the IP address of @p address and sets @p port; port 0 if there is none. */
std::string splitAddress(const HostAddress &address, int &port)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    return text.substr(0, colon);
}

} // namespace

PlatformServer::PlatformServer(PlatformServerSettings settings)
    : settings_(std::move(settings))
    , store_(kNoCallTimeout)
    , server_([this] { counter_.countRefused(); })
{
    server_.new_task_queue = [threads = settings_.threads] { return new httplib::ThreadPool(threads); };
    server_.set_payload_max_length(kMaximumPayloadBytes);
    server_.set_tcp_nodelay(true);
    addObjectRoutes();
    addControlRoutes();
}

PlatformServer::~PlatformServer()
{
    close();
}

tl::expected<HostAddress, std::string> PlatformServer::open()
{
    int port = 0;
    const std::string ip = splitAddress(settings_.address, port);
    if (port == 0) {
        port = server_.bind_to_any_port(ip);
    } else if (!server_.bind_to_port(ip, port)) {
        port = -1;
    }
    if (port < 0) {
        return tl::unexpected("can't listen on " + settings_.address.value());
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
        std::this_thread::yield();
    }
    return HostAddress(ip + ":" + std::to_string(port));
}

void PlatformServer::close()
{
    if (thread_.joinable()) {
        store_.interrupt();
        server_.stop();
        thread_.join();
    }
}

std::string PlatformServer::applyFaults(const std::string &text)
{
    try {
        const Json change = Json::parse(text);
        StoreFaults faults = store_.faults();
        std::optional<std::set<std::string>> refused;
        for (const auto &[name, value] : change.items()) {
            if (name == "down") {
                faults.down = value.get<bool>();
            } else if (name == "slow_ms") {
                faults.delay = Millis{value.get<double>()};
            } else if (name == "lose_answers") {
                faults.responsesToDrop = value.get<int>();
            } else if (name == "save_copy" && value.get<bool>()) {
                store_.saveCopy();
            } else if (name == "return_to_copy" && value.get<bool>()) {
                store_.returnToCopy();
            } else if (name == "refuse") {
                refused = value.get<std::set<std::string>>();
            } else {
                return "unknown fault " + name;
            }
        }
        store_.setFaults(faults);
        if (refused) {
            server_.refuse(*std::move(refused));
        }
        return {};
    } catch (const Json::exception &error) {
        return error.what();
    }
}

std::string PlatformServer::stats() const
{
    return counter_.report();
}

void PlatformServer::addObjectRoutes()
{
    server_.Get("/objects/(.+)",
                [this](const httplib::Request &request, httplib::Response &response) { getObject(request, response); });
    server_.Put("/objects/(.+)",
                [this](const httplib::Request &request, httplib::Response &response) { putObject(request, response); });
    server_.Delete("/objects/(.+)", [this](const httplib::Request &request, httplib::Response &response) {
        removeObject(request, response);
    });
    server_.Get("/kinds/([^/]+)", [this](const httplib::Request &request, httplib::Response &response) {
        if (request.has_param("after")) {
            watchKind(request, response);
        } else {
            listKind(request, response);
        }
    });
    server_.Get("/objects", [this](const httplib::Request &request, httplib::Response &response) {
        counter_.count("list", request.remote_addr);
        const auto listed = store_.list(request.get_param_value("prefix"));
        if (!listed) {
            respondWithError(response, listed.error());
            return;
        }
        response.set_content(serializeListing(*listed), "application/json");
    });
}

void PlatformServer::addControlRoutes()
{
    server_.Get("/stats", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(stats(), "application/json");
    });
    server_.Post("/faults", [this](const httplib::Request &request, httplib::Response &response) {
        const std::string error = applyFaults(request.body);
        if (!error.empty()) {
            respondBadRequest(response, error);
        }
    });
}

void PlatformServer::getObject(const httplib::Request &request, httplib::Response &response)
{
    counter_.count("get", request.remote_addr);
    const auto object = store_.get(request.matches[1]);
    if (!object) {
        respondWithError(response, object.error());
        return;
    }
    respondWithObject(response, *object);
}

void PlatformServer::listKind(const httplib::Request &request, httplib::Response &response)
{
    counter_.count("list", request.remote_addr);
    const auto listing = store_.listKind(request.matches[1], ReadMode::Latest);
    if (!listing) {
        respondWithError(response, listing.error());
        return;
    }
    response.set_content(serializeKindListing(*listing), "application/json");
}

void PlatformServer::watchKind(const httplib::Request &request, httplib::Response &response)
{
    counter_.count("watch", request.remote_addr);
    const std::optional<std::uint64_t> after = parseNumber(request.get_param_value("after"));
    const std::optional<std::uint64_t> wait = parseNumber(request.get_param_value("wait_ms"));
    if (!after || !wait) {
        respondBadRequest(response, "after and wait_ms must be numbers");
        return;
    }
    counter_.watchStarted();
    const auto batch =
        store_.watchKind(request.matches[1], *after,
                         std::min(Millis{static_cast<double>(*wait)}, kMaximumWatchDuration), ReadMode::Latest);
    counter_.watchEnded();
    if (!batch) {
        respondWithError(response, batch.error());
        return;
    }
    response.set_content(serializeChanges(*batch), "application/json");
}

void PlatformServer::removeObject(const httplib::Request &request, httplib::Response &response)
{
    counter_.count("delete", request.remote_addr);
    const std::optional<std::uint64_t> expected = parseVersionTag(request.get_header_value("If-Match"));
    if (!expected) {
        respondBadRequest(response, "a removal needs If-Match with a version");
        return;
    }
    const auto removed = store_.remove(request.matches[1], *expected);
    if (!removed) {
        respondWithError(response, removed.error());
    }
}

void PlatformServer::putObject(const httplib::Request &request, httplib::Response &response)
{
    counter_.count("put", request.remote_addr);
    const std::string key = request.matches[1];
    const bool creates = request.get_header_value("If-None-Match") == "*";
    const std::optional<std::uint64_t> expected = parseVersionTag(request.get_header_value("If-Match"));
    if (!creates && !expected) {
        respondBadRequest(response, "a write needs If-None-Match: * or If-Match with a version");
        return;
    }
    const auto version = creates ? store_.create(key, request.body) : store_.update(key, request.body, *expected);
    if (!version) {
        respondWithError(response, version.error());
        return;
    }
    response.status = creates ? 201 : 200;
    response.set_header("ETag", formatVersionTag(*version));
}

} // namespace Hibiscus
