#include "http/responsefault.h"

namespace Hibiscus
{

std::string_view responseFaultName(ResponseFault fault)
{
    switch (fault) {
    case ResponseFault::StatusLine:
        return "status-line";
    case ResponseFault::FieldLine:
        return "field-line";
    case ResponseFault::HeadTooLong:
        return "head-too-long";
    case ResponseFault::Upgrade:
        return "upgrade";
    case ResponseFault::Coding:
        return "coding";
    case ResponseFault::Length:
        return "length";
    case ResponseFault::Chunk:
        return "chunk";
    case ResponseFault::Trailer:
        return "trailer";
    case ResponseFault::BodyTooLong:
        return "body-too-long";
    case ResponseFault::Truncated:
        return "truncated";
    case ResponseFault::Reset:
        return "reset";
    case ResponseFault::TooManyResponses:
        return "too-many-responses";
    }
    return "unknown";
}

} // namespace Hibiscus
