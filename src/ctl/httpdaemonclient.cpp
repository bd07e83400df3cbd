#include "ctl/httpdaemonclient.h"

#include "config/valueformat.h"

#include <functional>

#include <httplib.h>

namespace Hibiscus
{

namespace
{

constexpr time_t kConnectTimeoutSeconds = 2;
constexpr time_t kResponseTimeoutSeconds = 5;

tl::expected<std::string, DaemonError> call(const HostAddress &daemon,
                                            const std::function<httplib::Result(httplib::Client &)> &send)
{
    const auto parts = parseAddress(daemon.value());
    if (!parts) {
        return tl::unexpected(DaemonError{false, daemon.value() + " is not an IP address with a port"});
    }
    std::string host = daemon.value().substr(0, daemon.value().rfind(':'));
    if (host.front() == '[') {
        host = host.substr(1, host.size() - 2);
    }
    httplib::Client client(host, parts->port);
    client.set_connection_timeout(kConnectTimeoutSeconds);
    client.set_read_timeout(kResponseTimeoutSeconds);
    client.set_write_timeout(kResponseTimeoutSeconds);
    const httplib::Result result = send(client);
    if (!result) {
        return tl::unexpected(
            DaemonError{false, "no answer from " + daemon.value() + " (" + httplib::to_string(result.error()) + ")"});
    }
    constexpr int kSuccessClass = 2;
    constexpr int kStatusesPerClass = 100;
    if (result->status / kStatusesPerClass != kSuccessClass) {
        return tl::unexpected(
            DaemonError{true, daemon.value() + " answered with status " + std::to_string(result->status)});
    }
    return result->body;
}

} // namespace

tl::expected<std::string, DaemonError> HttpDaemonClient::status(const HostAddress &daemon)
{
    return call(daemon, [](httplib::Client &client) { return client.Get("/status"); });
}

tl::expected<void, DaemonError> HttpDaemonClient::drain(const HostAddress &daemon)
{
    const auto response = call(daemon, [](httplib::Client &client) { return client.Post("/drain"); });
    if (!response) {
        return tl::unexpected(response.error());
    }
    return {};
}

} // namespace Hibiscus
