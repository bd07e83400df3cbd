#include "daemon/attemptquality.h"

namespace Hibiscus
{

namespace
{

constexpr int kFirstServerErrorStatus = 500;
constexpr int kStatusGatewayTimeout = 504;

/** Whether an attempt can end with @p kind at a sound server. */
bool saysNothingAboutServer(ErrorKind kind)
{
    return kind == ErrorKind::Cancelled || kind == ErrorKind::DeadlineExceeded || kind == ErrorKind::Unreachable;
}

} // namespace

ServiceName ownTimeKey(const CallRequest &call)
{
    return ServiceName(call.route.empty() ? call.root.requestClass.value() : call.route);
}

std::optional<bool> serverFailed(const CallResult &result, const ScopeSummary &summary)
{
    if (!result.response) {
        return saysNothingAboutServer(result.response.error()) ? std::nullopt : std::optional(true);
    }
    const int status = result.response->status;
    const bool isServerError = status >= kFirstServerErrorStatus && status != kStatusGatewayTimeout;
    return isServerError && !summary.childFailed;
}

} // namespace Hibiscus
