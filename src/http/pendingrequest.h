#ifndef HIBISCUS_HTTP_PENDINGREQUEST_H
#define HIBISCUS_HTTP_PENDINGREQUEST_H

#include "core/millis.h"
#include "http/httpmessage.h"

#include <cstddef>
#include <optional>
#include <utility>

namespace Hibiscus
{

/** A request of a connection whose response has not been written yet. */
struct PendingRequest {
    /** @p bytes are held until there is a response. */
    PendingRequest(bool keepsAlive, TimePoint receivedAt, std::size_t bytes)
        : keepAlive(keepsAlive)
        , received(receivedAt)
        , requestBytes(bytes)
    {
    }

    void setResponse(HttpResponse newResponse)
    {
        responseBytes = newResponse.body.size() + newResponse.headers.heldBytes();
        response = std::move(newResponse);
    }

    std::optional<HttpResponse> response;
    bool keepAlive;
    TimePoint received;
    std::size_t requestBytes;
    std::size_t responseBytes = 0;
};

} // namespace Hibiscus

#endif
