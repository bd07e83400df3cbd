#ifndef HIBISCUS_RPC_FIELDIO_H
#define HIBISCUS_RPC_FIELDIO_H

#include "core/millis.h"
#include "core/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

namespace Hibiscus
{

/** Writes the fields of a message to a JSON object. The same visitor function describes reading and writing. */
class FieldWriter
{
public:
    template<class T>
    void field(const char *name, const T &value)
    {
        write(object_[name], value);
    }

    template<class T>
    void optional(const char *name, const std::optional<T> &value)
    {
        if (value) {
            write(object_[name], *value);
        }
    }

    template<class T>
    void list(const char *name, const std::vector<T> &values)
    {
        Json::Value &array = object_[name] = Json::Value(Json::arrayValue);
        for (const T &value : values) {
            write(array.append(Json::Value()), value);
        }
    }

    Json::Value take()
    {
        return std::move(object_);
    }

private:
    static void write(Json::Value &target, const std::string &value)
    {
        target = value;
    }
    static void write(Json::Value &target, bool value)
    {
        target = value;
    }
    static void write(Json::Value &target, int value)
    {
        target = value;
    }
    static void write(Json::Value &target, std::uint32_t value)
    {
        target = value;
    }
    static void write(Json::Value &target, std::uint64_t value)
    {
        target = Json::UInt64(value);
    }
    static void write(Json::Value &target, Millis value)
    {
        target = value.value;
    }
    static void write(Json::Value &target, TimePoint value)
    {
        target = value.value;
    }
    template<class Tag, class Value>
    static void write(Json::Value &target, const StrongId<Tag, Value> &id)
    {
        write(target, id.value());
    }
    template<class Message>
    static void write(Json::Value &target, const Message &message)
    {
        FieldWriter writer;
        describe(writer, message);
        target = writer.take();
    }

    Json::Value object_{Json::objectValue};
};

/** Reads the fields of a message from a JSON object and notes whether any was missing or of another type. */
class FieldReader
{
public:
    explicit FieldReader(const Json::Value &object)
        : object_(object)
        , valid_(object.isObject())
    {
    }

    bool valid() const
    {
        return valid_;
    }

    template<class T>
    void field(const char *name, T &value)
    {
        valid_ = valid_ && object_.isMember(name) && read(object_[name], value);
    }

    template<class T>
    void optional(const char *name, std::optional<T> &value)
    {
        if (valid_ && object_.isMember(name)) {
            valid_ = read(object_[name], value.emplace());
        }
    }

    template<class T>
    void list(const char *name, std::vector<T> &values)
    {
        valid_ = valid_ && object_.isMember(name) && object_[name].isArray();
        if (!valid_) {
            return;
        }
        for (const Json::Value &entry : object_[name]) {
            valid_ = valid_ && read(entry, values.emplace_back());
        }
    }

private:
    static bool read(const Json::Value &source, std::string &value)
    {
        value = source.isString() ? source.asString() : "";
        return source.isString();
    }
    static bool read(const Json::Value &source, bool &value)
    {
        value = source.isBool() && source.asBool();
        return source.isBool();
    }
    static bool read(const Json::Value &source, int &value)
    {
        value = source.isInt() ? source.asInt() : 0;
        return source.isInt();
    }
    static bool read(const Json::Value &source, std::uint32_t &value)
    {
        value = source.isUInt() ? source.asUInt() : 0;
        return source.isUInt();
    }
    static bool read(const Json::Value &source, std::uint64_t &value)
    {
        value = source.isUInt64() ? source.asUInt64() : 0;
        return source.isUInt64();
    }
    static bool read(const Json::Value &source, Millis &value)
    {
        value.value = source.isNumeric() ? source.asDouble() : 0;
        return source.isNumeric();
    }
    static bool read(const Json::Value &source, TimePoint &value)
    {
        value.value = source.isNumeric() ? source.asDouble() : 0;
        return source.isNumeric();
    }
    template<class Tag, class Value>
    static bool read(const Json::Value &source, StrongId<Tag, Value> &id)
    {
        Value value{};
        const bool ok = read(source, value);
        id = StrongId<Tag, Value>(std::move(value));
        return ok;
    }
    template<class Message>
    static bool read(const Json::Value &source, Message &message)
    {
        FieldReader reader(source);
        describe(reader, message);
        return reader.valid();
    }

    const Json::Value &object_;
    bool valid_;
};

} // namespace Hibiscus

#endif
