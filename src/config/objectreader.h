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
 * Every read reports its fault to the error list and then returns a default value, so that one pass finds all errors.
 */
class ObjectReader
{
public:
    /** @p value need not be an object; if it is not, that is the only error. */
    ObjectReader(const nlohmann::json &value, std::string location, ErrorList &errors);

    bool isObject() const
    {
        return value_.is_object();
    }
    /** Whether an optional key is there. */
    bool has(std::string_view key);
    std::string locationOf(std::string_view key) const;

    /** Text of 1 to @p maximumBytes bytes without control characters. */
    std::string text(std::string_view key, std::size_t maximumBytes);
    /** Text of any content, line breaks included. */
    std::string freeText(std::string_view key);
    /** A name; see isName(). */
    std::string name(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    bool boolean(std::string_view key);
    /** Text such as "800 ms", "2.5 s" or "1 min". */
    Millis duration(std::string_view key, Millis minimum, Millis maximum);
    /** Calls @p element with each element of a list and its location. */
    void list(std::string_view key, bool mayBeEmpty,
              const std::function<void(const nlohmann::json &, const std::string &)> &element);
    /** Value of any type; null if it is missing, which is an error. */
    const nlohmann::json &member(std::string_view key);

    /** Reports all keys that were not read. To be called last. */
    void finish();

private:
    const nlohmann::json *find(std::string_view key, const char *allowed);

    const nlohmann::json &value_;
    std::string location_;
    ErrorList &errors_;
    std::set<std::string, std::less<>> known_;
};

} // namespace Hibiscus

#endif
