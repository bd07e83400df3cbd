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
    PendingRequest(bool keepsAlive, bool isHeadRequest, TimePoint receivedAt, std::size_t bytes)
        : keepAlive(keepsAlive)
        , isHead(isHeadRequest)
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
    bool isHead;
    TimePoint received;
    std::size_t requestBytes;
    std::size_t responseBytes = 0;
};

} // namespace Hibiscus

#endif
