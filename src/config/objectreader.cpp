#include "config/objectreader.h"

#include "config/jsontext.h"
#include "config/valueformat.h"
#include "core/textid.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

const json kNull;

bool hasControlCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
}

std::string rangeText(std::int64_t minimum, std::int64_t maximum)
{
    return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::string joinKeys(const std::set<std::string, std::less<>> &keys)
{
    std::string text;
    for (const std::string &key : keys) {
        text += (text.empty() ? "" : ", ") + key;
    }
    return text;
}

} // namespace

ObjectReader::ObjectReader(const json &value, std::string location, ErrorList &errors)
    : value_(value)
    , location_(std::move(location))
    , errors_(errors)
{
    if (!value_.is_object()) {
        errors_.add(location_.empty() ? "/" : location_, value_, "an object in braces");
    }
}

bool ObjectReader::has(std::string_view key)
{
    knownKeys_.emplace(key);
    return value_.is_object() && value_.contains(key);
}

std::string ObjectReader::locationOf(std::string_view key) const
{
    return childLocation(location_, key);
}

const json *ObjectReader::find(std::string_view key, const char *allowed)
{
    knownKeys_.emplace(key);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(key);
    if (found == value_.end()) {
        errors_.addUnquoted(locationOf(key), "", allowed);
        return nullptr;
    }
    return &*found;
}

std::string ObjectReader::text(std::string_view key, std::size_t maximumBytes)
{
    const std::string allowed =
        "a text of 1 to " + std::to_string(maximumBytes) + " bytes in quotes, without control characters";
    const json *found = find(key, allowed.c_str());
    if (found == nullptr) {
        return {};
    }
    if (found->is_string()) {
        const auto &value = found->get_ref<const std::string &>();
        if (!value.empty() && value.size() <= maximumBytes && !hasControlCharacter(value)) {
            return value;
        }
    }
    errors_.add(locationOf(key), *found, allowed);
    return {};
}

std::string ObjectReader::freeText(std::string_view key)
{
    constexpr const char *kAllowed = "a text in quotes";
    const json *found = find(key, kAllowed);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string()) {
        errors_.add(locationOf(key), *found, kAllowed);
        return {};
    }
    return found->get<std::string>();
}

std::string ObjectReader::idText(std::string_view key)
{
    constexpr const char *kAllowed = "a text in quotes, without control characters";
    const json *found = find(key, kAllowed);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || !isIdText(found->get_ref<const std::string &>())) {
        errors_.add(locationOf(key), *found, kAllowed);
        return {};
    }
    return found->get<std::string>();
}

std::string ObjectReader::name(std::string_view key)
{
    const json *found = find(key, kNameAllowed);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || !isName(found->get_ref<const std::string &>())) {
        errors_.add(locationOf(key), *found, kNameAllowed);
        return {};
    }
    return found->get<std::string>();
}

std::int64_t ObjectReader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum)
{
    const std::string allowed = rangeText(minimum, maximum);
    const json *found = find(key, allowed.c_str());
    if (found == nullptr) {
        return minimum;
    }
    // The JSON library stores integers above the signed range as unsigned; converting them would wrap around.
    const bool fits = found->is_number_integer()
        && (!found->is_number_unsigned() || found->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX));
    const std::int64_t value = fits ? found->get<std::int64_t>() : minimum;
    if (!fits || value < minimum || value > maximum) {
        errors_.add(locationOf(key), *found, allowed);
        return minimum;
    }
    return value;
}

bool ObjectReader::boolean(std::string_view key)
{
    constexpr const char *kAllowed = "true or false";
    const json *found = find(key, kAllowed);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_boolean()) {
        errors_.add(locationOf(key), *found, kAllowed);
        return false;
    }
    return found->get<bool>();
}

Millis ObjectReader::duration(std::string_view key, Millis minimum, Millis maximum)
{
    const std::string allowed =
        std::string(kDurationAllowed) + ", from " + formatDuration(minimum) + " to " + formatDuration(maximum);
    const json *found = find(key, allowed.c_str());
    if (found == nullptr) {
        return minimum;
    }
    const auto value =
        found->is_string() ? parseDuration(found->get_ref<const std::string &>()) : std::optional<Millis>();
    if (!value || *value < minimum || *value > maximum) {
        errors_.add(locationOf(key), *found, allowed);
        return minimum;
    }
    return *value;
}

void ObjectReader::list(std::string_view key, bool mayBeEmpty,
                        const std::function<void(const json &, const std::string &)> &element)
{
    const char *allowed =
        mayBeEmpty ? "a list in square brackets" : "a list in square brackets with at least one entry";
    const json *found = find(key, allowed);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array() || (found->empty() && !mayBeEmpty)) {
        errors_.add(locationOf(key), *found, allowed);
        return;
    }
    std::size_t index = 0;
    for (const json &value : *found) {
        element(value, childLocation(locationOf(key), index));
        ++index;
    }
}

const json &ObjectReader::member(std::string_view key)
{
    const json *found = find(key, "an object in braces");
    return found == nullptr ? kNull : *found;
}

void ObjectReader::finish()
{
    if (!value_.is_object()) {
        return;
    }
    for (const auto &[key, value] : value_.items()) {
        if (knownKeys_.find(key) == knownKeys_.end()) {
            errors_.add(locationOf(key), value, "only the keys " + joinKeys(knownKeys_));
        }
    }
}

} // namespace Hibiscus
