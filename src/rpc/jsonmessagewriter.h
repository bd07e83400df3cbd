#ifndef HIBISCUS_RPC_JSONMESSAGEWRITER_H
#define HIBISCUS_RPC_JSONMESSAGEWRITER_H

#include "rpc/messagefields.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <json/value.h>

namespace Hibiscus
{

/** Writes the members of one message into a JSON object. */
class JsonMessageWriter
{
public:
    template<class Message>
    static Json::Value write(const Message &message)
    {
        JsonMessageWriter writer;
        // The visitor is shared with the reader and so takes a mutable message.
        Message copy = message;
        visitFields(writer, copy);
        return std::move(writer.object_);
    }

    template<class T>
    void required(const char *name, T &value)
    {
        object_[name] = toJson(value);
    }

    template<class T>
    void optional(const char *name, T &value)
    {
        if (!(value == T())) {
            object_[name] = toJson(value);
        }
    }

    void flag(const char *name, bool value, bool usual)
    {
        if (value != usual) {
            object_[name] = value;
        }
    }

    void text(const char *name, std::string &value, std::size_t /*limit*/)
    {
        if (!value.empty()) {
            object_[name] = value;
        }
    }

    /** One digit per index up to the highest one, which is smaller than a list of numbers. */
    void indices(const char *name, std::vector<std::uint32_t> &value)
    {
        if (value.empty()) {
            return;
        }
        std::string digits(*std::ranges::max_element(value) + std::size_t{1}, '0');
        for (const std::uint32_t index : value) {
            digits[index] = '1';
        }
        object_[name] = digits;
    }

private:
    template<class Tag, class Value>
    static Json::Value toJson(const StrongId<Tag, Value> &id)
    {
        return toJson(id.value());
    }

    static Json::Value toJson(const std::string &value)
    {
        return value;
    }

    static Json::Value toJson(std::uint64_t value)
    {
        return Json::Value(Json::UInt64(value));
    }

    static Json::Value toJson(std::uint32_t value)
    {
        return Json::Value(Json::UInt(value));
    }

    static Json::Value toJson(int value)
    {
        return value;
    }

    static Json::Value toJson(Millis value)
    {
        return wholeMillis(value.value);
    }

    static Json::Value toJson(TimePoint value)
    {
        return wholeMillis(value.value);
    }

    static Json::Value wholeMillis(double value)
    {
        return Json::Value(Json::UInt64(std::floor(std::max(value, 0.0))));
    }

    template<class T>
    static Json::Value toJson(const std::optional<T> &value)
    {
        return write(*value);
    }

    template<class T>
    static Json::Value toJson(const std::vector<T> &items)
    {
        Json::Value array(Json::arrayValue);
        for (const T &item : items) {
            array.append(write(item));
        }
        return array;
    }

    template<class Message>
    requires std::is_class_v<Message>
    static Json::Value toJson(const Message &message)
    {
        return write(message);
    }

    Json::Value object_{Json::objectValue};
};

} // namespace Hibiscus

#endif
