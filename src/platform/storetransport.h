#ifndef HIBISCUS_PLATFORM_STORETRANSPORT_H
#define HIBISCUS_PLATFORM_STORETRANSPORT_H

#include "core/ids.h"
#include "core/millis.h"
#include "platform/storeerror.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus
{

struct StoreTransportSettings {
    HostAddress address; ///< Address of the platform's object API.
    std::string localAddress; ///< Source IP address of connections; empty lets the system choose.
    Millis connectTimeout{1000};
    Millis responseTimeout{2000}; ///< Until each part of the response; a watch adds StoreCall::watchTimeout.
};

enum class StoreCallKind {
    Read,
    Write,
};

/** One call of the platform's object API. */
struct StoreCall {
    StoreCallKind kind = StoreCallKind::Read;
    std::string method; ///< GET, PUT, POST or DELETE.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType;
    Millis watchTimeout; ///< How long the platform may hold back the response to a watch; 0 for other calls.
};

/** Response of the platform, whatever its status. */
struct StoreResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Value of a header; empty if it is missing. */
    std::string header(const std::string &name) const;
};

/** Error of a call without a usable response: Ambiguous for a write, which may have taken effect, else Unavailable. */
StoreError errorWithoutResponse(StoreCallKind kind);

/**
 * Makes calls of the platform's object API over HTTP.
 *
 * Each call blocks and uses a connection of its own, since only a few calls a second are made and a kept-alive
 * connection that the platform has closed would make a write ambiguous for no reason. Calls are never repeated here.
 */
class StoreTransport
{
public:
    explicit StoreTransport(StoreTransportSettings settings);
    ~StoreTransport();
    StoreTransport(const StoreTransport &) = delete;
    StoreTransport &operator=(const StoreTransport &) = delete;

    /** Errors: Unavailable if nothing was sent or a read has no response, Ambiguous if a write has none. */
    StoreResult<StoreResponse> call(const StoreCall &call);

    /** Aborts all calls and fails later ones; returns when no call is pending. Callable from any thread. */
    void interrupt();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
