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
    case ResponseFault::Coding:
        return "coding";
    case ResponseFault::Length:
        return "length";
    case ResponseFault::HeadTooLong:
        return "head-too-long";
    case ResponseFault::Unparsable:
        break;
    }
    return "unparsable";
}

} // namespace Hibiscus
