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

/** What the downstream calls of a request pass on from it. */
struct CallOrigin {
    std::string tag;
    std::string callPath;
    std::optional<std::string> context; ///< Value of the Hibiscus-Context header.
    std::optional<TimePoint> deadline;
};

/** Makes the downstream calls of one request. Used by the single thread of the io_context only. */
class DownstreamCalls : public std::enable_shared_from_this<DownstreamCalls>
{
public:
    /** Answer bodies in the order of the calls; empty if a call failed. */
    using Callback = std::function<void(std::optional<std::vector<std::string>>)>;

    DownstreamCalls(BackendCore &core, BackendRoute route, CallOrigin origin, Callback callback);

    void start();
    /** Closes the connections of the calls that have no answer yet; the callback isn't called any more. */
    void cancel();

private:
    void send(std::size_t index, int attempt);
    void received(std::size_t index, int attempt, const HttpResult &result);
    void finish(bool succeeded);
    HttpRequest makeRequest(std::size_t index) const;
    /** Server or listener of an attempt; empty if the settings name none. */
    std::optional<HostAddress> addressFor(std::size_t index, int attempt);
    Millis timeout() const;

    BackendCore &core_;
    BackendRoute route_;
    CallOrigin origin_;
    Callback callback_;
    std::vector<std::string> answers_;
    std::vector<std::shared_ptr<HttpCall>> running_;
    std::vector<std::size_t> firstServer_;
    std::size_t open_ = 0;
};

} // namespace Hibiscus

#endif
