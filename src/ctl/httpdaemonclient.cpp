#include "ctl/httpdaemonclient.h"

#include "config/valueformat.h"
#include "http/blockingcall.h"

namespace Hibiscus
{

namespace
{

constexpr Millis kConnectTimeout{2000};
constexpr Millis kResponseTimeout{5000};

std::string_view describe(TransportError error)
{
    switch (error) {
    case TransportError::ConnectFailed:
        return "no connection";
    case TransportError::NotBegun:
    case TransportError::Lost:
        return "the connection was lost";
    case TransportError::MalformedResponse:
        return "the response is malformed";
    case TransportError::TimedOut:
        return "no response in time";
    }
    return "unknown";
}

tl::expected<std::string, DaemonError> call(const HostAddress &daemon, const HttpRequest &request)
{
    if (!parseAddress(daemon.value())) {
        return tl::unexpected(DaemonError{false, daemon.value() + " is not an IP address with a port"});
    }
    HttpCallOptions options;
    options.connectTimeout = kConnectTimeout;
    options.responseTimeout = kResponseTimeout;
    options.renewsTimeout = true;
    HttpResult result = BlockingCall(daemon, request, options).run();
    if (!result) {
        return tl::unexpected(DaemonError{
            false, "no answer from " + daemon.value() + " (" + std::string(describe(result.error())) + ")"});
    }
    constexpr int kSuccessClass = 2;
    constexpr int kStatusesPerClass = 100;
    if (result->status / kStatusesPerClass != kSuccessClass) {
        return tl::unexpected(
            DaemonError{true, daemon.value() + " answered with status " + std::to_string(result->status)});
    }
    return std::move(result->body);
}

} // namespace

tl::expected<std::string, DaemonError> HttpDaemonClient::status(const HostAddress &daemon)
{
    return call(daemon, {"GET", "/status", {}, ""});
}

tl::expected<void, DaemonError> HttpDaemonClient::drain(const HostAddress &daemon)
{
    const auto response = call(daemon, {"POST", "/drain", {}, ""});
    if (!response) {
        return tl::unexpected(response.error());
    }
    return {};
}

} // namespace Hibiscus
