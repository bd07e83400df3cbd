#ifndef HIBISCUS_CORE_LOGFIELD_H
#define HIBISCUS_CORE_LOGFIELD_H

#include "core/millis.h"
#include "core/requestrate.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Hibiscus
{

/** Named value in a log line. */
struct LogField {
    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(std::string(text))
    {
    }
    LogField(std::string_view fieldName, const char *text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, const std::string &text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, Millis duration)
        : name(fieldName)
        , value(duration.value)
    {
    }
    LogField(std::string_view fieldName, RequestRate rate)
        : name(fieldName)
        , value(rate.perSecond)
    {
    }
    template<std::integral Number>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    {
    }

    std::string_view name;
    std::variant<std::string, double, std::int64_t> value;
};

} // namespace Hibiscus

#endif
