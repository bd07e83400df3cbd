#ifndef HIBISCUS_CONFIG_OBJECTREADER_H
#define HIBISCUS_CONFIG_OBJECTREADER_H

#include "config/errorlist.h"
#include "core/millis.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/**
 * Reads the members of one JSON object and checks them.
 *
 * A read that fails adds an error to the list and returns a default value, so that one pass finds all errors.
 */
class ObjectReader
{
public:
    /** If @p value is not an object, that is the only error reported. */
    ObjectReader(const nlohmann::json &value, std::string location, ErrorList &errors);

    bool isObject() const
    {
        return value_.is_object();
    }
    /** Whether the object has an optional key. */
    bool has(std::string_view key);
    /** Location of the value of @p key as a JSON pointer. */
    std::string locationOf(std::string_view key) const;

    /** Text of 1 to @p maximumBytes bytes without control characters. */
    std::string text(std::string_view key, std::size_t maximumBytes);
    /** Any text, including empty text, line breaks and control characters. */
    std::string freeText(std::string_view key);
    /** Text of an id (isIdText()), which may be empty; its form isn't checked. */
    std::string idText(std::string_view key);
    /** A name; see isName(). */
    std::string name(std::string_view key);
    /** Integer from @p minimum to @p maximum. */
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    bool boolean(std::string_view key);
    /** Duration from @p minimum to @p maximum, written as "800 ms", "2.5 s" or "1 min". */
    Millis duration(std::string_view key, Millis minimum, Millis maximum);
    /** Calls @p element with each element of a list and the location of that element. */
    void list(std::string_view key, bool mayBeEmpty,
              const std::function<void(const nlohmann::json &, const std::string &)> &element);
    /** Value of any type; adds an error and returns null if it is missing. */
    const nlohmann::json &member(std::string_view key);

    /** Reports all keys that were not read; must be called last. */
    void finish();

private:
    const nlohmann::json *find(std::string_view key, const char *allowed);

    const nlohmann::json &value_;
    std::string location_;
    ErrorList &errors_;
    std::set<std::string, std::less<>> knownKeys_;
};

} // namespace Hibiscus

#endif
