#ifndef HIBISCUS_RPC_CONTROLCODEC_H
#define HIBISCUS_RPC_CONTROLCODEC_H

#include "membership/controlmessages.h"

#include <cstddef>
#include <optional>
#include <string>

#include <json/value.h>

namespace Hibiscus
{

/** JSON-RPC method name of the request at alternative @p kind of ControlRequest. */
const char *controlMethod(std::size_t kind);

Json::Value toJson(const ControlRequest &request);
Json::Value toJson(const ControlResponse &response);

/** Request of alternative @p kind; empty if a field is missing or has another type. */
std::optional<ControlRequest> controlRequestFromJson(std::size_t kind, const Json::Value &value);
std::optional<ControlResponse> controlResponseFromJson(std::size_t kind, const Json::Value &value);

/** Text of a JSON-RPC 2.0 request. */
std::string encodeControlRequest(const ControlRequest &request);
/** Response of alternative @p kind from a JSON-RPC 2.0 response; empty if it is an error or malformed. */
std::optional<ControlResponse> decodeControlResponse(std::size_t kind, const std::string &text);

} // namespace Hibiscus

#endif
