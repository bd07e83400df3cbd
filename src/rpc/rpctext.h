#ifndef HIBISCUS_RPC_RPCTEXT_H
#define HIBISCUS_RPC_RPCTEXT_H

#include "membership/controlmessages.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Why a response text can't be used. */
struct RpcError {
    int code = 0; ///< Error code of JSON-RPC; 0 when the text is no valid response to the request.
    std::string message;
};

/** Text of a JSON-RPC 2.0 request, to be sent as the body of an HTTP request. */
std::string requestText(std::uint64_t id, const ControlRequest &request);

/** Reads the response to the request @p id of @p method: poll, announce, view, lease or configuration. */
tl::expected<ControlResponse, RpcError> readResponse(const std::string &text, std::uint64_t id,
                                                     std::string_view method);

} // namespace Hibiscus

#endif
