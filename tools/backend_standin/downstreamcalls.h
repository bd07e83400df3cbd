#ifndef HIBISCUS_BACKEND_STANDIN_DOWNSTREAMCALLS_H
#define HIBISCUS_BACKEND_STANDIN_DOWNSTREAMCALLS_H

#include "backend_standin/backendcore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Data of a request that its downstream calls need. */
struct RequestMetadata {
    std::string tag;
    std::string callPath; ///< Services, methods and paths from the root request down to this request.
    std::optional<std::string> context; ///< Value of the Hibiscus-Context header.
    std::optional<TimePoint> deadline;
};

/** Makes the downstream calls of one request. Used by the single thread of the io_context only. */
class DownstreamCalls : public std::enable_shared_from_this<DownstreamCalls>
{
public:
    /** Response bodies in the order of the calls; empty if a call failed. */
    using Callback = std::function<void(std::optional<std::vector<std::string>>)>;

    DownstreamCalls(BackendCore &core, BackendRoute route, RequestMetadata parent, Callback callback);

    void start();
    /** Closes the connections of the calls that have no response yet; the callback isn't called any more. */
    void cancel();

private:
    void send(std::size_t index, int attempt);
    void handleResult(std::size_t index, int attempt, const HttpResult &result);
    void finish(bool succeeded);
    HttpRequest makeRequest(std::size_t index) const;
    /** Address of the server or local listener for an attempt; empty if the settings contain none. */
    std::optional<HostAddress> addressFor(std::size_t index, int attempt);
    /** Time until the deadline, between 1 ms and the downstream timeout; without a deadline, the downstream timeout. */
    Millis responseTimeout() const;

    BackendCore &core_;
    BackendRoute route_;
    RequestMetadata parent_;
    Callback callback_;
    std::vector<std::string> responseBodies_;
    std::vector<std::shared_ptr<HttpCall>> activeCalls_;
    std::vector<std::size_t> firstServers_; ///< Random index of the server of the first attempt, by call.
    std::size_t pendingCalls_ = 0; ///< Calls without a valid response, including those not sent yet.
};

} // namespace Hibiscus

#endif
