#ifndef HIBISCUS_RPC_CONTROLCODEC_H
#define HIBISCUS_RPC_CONTROLCODEC_H

#include "membership/controlmessages.h"

#include <string>
#include <string_view>

#include <json/value.h>
#include <tl/expected.hpp>

namespace Hibiscus
{

/** Place and cause of the first fault in a message, such as "from.name: too long". */
struct CodecError {
    std::string detail;
};

/** Method name of a request: poll, announce, view, lease or configuration. */
std::string_view methodOf(const ControlRequest &request);

/**
 * JSON form of a message. Members with their default value are left out. Times are whole milliseconds, rounded down, so
 * that a lease is never extended by its encoding.
 */
Json::Value encode(const ControlRequest &request);
Json::Value encode(const ControlResponse &response);

/**
 * Reads the request of @p method. A member of the wrong type, out of range, too long or missing is an error; an unknown
 * member is ignored, so that daemons of two versions understand each other during an upgrade.
 */
tl::expected<ControlRequest, CodecError> decodeRequest(std::string_view method, const Json::Value &value);

/** Reads the response to a request of @p method, under the same rules. */
tl::expected<ControlResponse, CodecError> decodeResponse(std::string_view method, const Json::Value &value);

} // namespace Hibiscus

#endif
