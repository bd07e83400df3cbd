#ifndef HIBISCUS_RPC_JSONMESSAGEREADER_H
#define HIBISCUS_RPC_JSONMESSAGEREADER_H

#include "rpc/messagefields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>

namespace Hibiscus
{

/** Reads the members of one message from a JSON value; notes the first fault and skips the rest. */
class JsonMessageReader
{
public:
    JsonMessageReader(const Json::Value &value, std::string place)
        : value_(value)
        , place_(std::move(place))
    {
        if (!value_.isObject()) {
            error_ = place_ + ": not an object";
        }
    }

    /** Empty when the message is valid. */
    const std::string &error() const
    {
        return error_;
    }

    template<class T>
    void required(const char *name, T &target)
    {
        if (const Json::Value *member = find(name)) {
            read(name, *member, target);
        } else {
            fail(name, "missing");
        }
    }

    template<class T>
    void optional(const char *name, T &target)
    {
        if (const Json::Value *member = find(name)) {
            read(name, *member, target);
        }
    }

    void flag(const char *name, bool &target, bool usual)
    {
        target = usual;
        optional(name, target);
    }

    void text(const char *name, std::string &target, std::size_t limit)
    {
        if (const Json::Value *member = find(name)) {
            readText(name, *member, target, limit);
        }
    }

    void indices(const char *name, std::vector<std::uint32_t> &target)
    {
        std::string digits;
        text(name, digits, kMaxListItems);
        for (std::size_t i = 0; i < digits.size(); ++i) {
            if (digits[i] == '1') {
                target.push_back(static_cast<std::uint32_t>(i));
            } else if (digits[i] != '0') {
                fail(name, "not a row of 0 and 1");
                return;
            }
        }
    }

private:
    /** Latest time in milliseconds: 2^53, up to which doubles are exact. */
    static constexpr std::uint64_t kMaxMillis = 1ULL << 53U;

    const Json::Value *find(const char *name) const
    {
        return error_.empty() && value_.isMember(name) ? &value_[name] : nullptr;
    }

    void fail(const std::string &name, const char *cause)
    {
        if (error_.empty()) {
            error_ = place_ + '.' + name + ": " + cause;
        }
    }

    void readText(const char *name, const Json::Value &value, std::string &target, std::size_t limit)
    {
        if (!value.isString()) {
            fail(name, "not a string");
            return;
        }
        target = value.asString();
        if (target.size() > limit) {
            fail(name, "too long");
        }
    }

    template<class Tag, class Value>
    void read(const char *name, const Json::Value &value, StrongId<Tag, Value> &target)
    {
        Value plain{};
        read(name, value, plain);
        if (plain == Value()) {
            fail(name, "empty");
        }
        target = StrongId<Tag, Value>(std::move(plain));
    }

    void read(const char *name, const Json::Value &value, std::string &target)
    {
        readText(name, value, target, kMaxNameBytes);
    }

    void read(const char *name, const Json::Value &value, std::uint64_t &target)
    {
        if (!value.isUInt64() || value.type() == Json::realValue) {
            fail(name, "not a whole number in range");
            return;
        }
        target = value.asUInt64();
    }

    void read(const char *name, const Json::Value &value, std::uint32_t &target)
    {
        if (!value.isUInt() || value.type() == Json::realValue) {
            fail(name, "not a whole number in range");
            return;
        }
        target = value.asUInt();
    }

    void read(const char *name, const Json::Value &value, int &target)
    {
        if (!value.isInt() || value.type() == Json::realValue) {
            fail(name, "not a whole number in range");
            return;
        }
        target = value.asInt();
    }

    void read(const char *name, const Json::Value &value, bool &target)
    {
        if (!value.isBool()) {
            fail(name, "not true or false");
            return;
        }
        target = value.asBool();
    }

    template<class Time>
    requires std::is_same_v<Time, Millis> || std::is_same_v<Time, TimePoint>
    void read(const char *name, const Json::Value &value, Time &target)
    {
        std::uint64_t millis = 0;
        read(name, value, millis);
        if (millis > kMaxMillis) {
            fail(name, "not a whole number in range");
            return;
        }
        target = Time{static_cast<double>(millis)};
    }

    template<class T>
    void read(const char *name, const Json::Value &value, std::optional<T> &target)
    {
        read(name, value, target.emplace());
    }

    template<class T>
    void read(const char *name, const Json::Value &value, std::vector<T> &target)
    {
        if (!value.isArray() || value.size() > kMaxListItems) {
            fail(name, "not a list of an allowed length");
            return;
        }
        target.reserve(value.size());
        for (const Json::Value &item : value) {
            read(name, item, target.emplace_back());
            if (!error_.empty()) {
                return;
            }
        }
    }

    template<class Message>
    requires requires(JsonMessageReader &reader, Message &message)
    {
        visitFields(reader, message);
    }
    void read(const char *name, const Json::Value &value, Message &target)
    {
        JsonMessageReader reader(value, place_ + '.' + name);
        visitFields(reader, target);
        if (error_.empty()) {
            error_ = reader.error();
        }
    }

    const Json::Value &value_;
    std::string place_;
    std::string error_;
};

} // namespace Hibiscus

#endif
