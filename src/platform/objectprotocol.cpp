#include "platform/objectprotocol.h"

#include "core/jsondocument.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

bool isUnescaped(unsigned char character)
{
    return std::isalnum(character) != 0
        || std::string_view("-._~/").find(static_cast<char>(character)) != std::string_view::npos;
}

template<class Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, base);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/** Values may contain arbitrary bytes, which JSON strings can't, so they are percent-encoded. */
Json encodeObject(const std::string &key, const StoredObject &object)
{
    return {{"key", key}, {"value", percentEncode(object.value)}, {"version", object.version}};
}

StoredObject decodeObject(const Json &entry)
{
    return {percentDecode(entry.at("value").get<std::string>()), entry.at("version").get<std::uint64_t>()};
}

/** Era of the store that a document names; 0 if it names none. */
std::uint64_t eraOf(const Json &document)
{
    return document.value("era", std::uint64_t{0});
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        if (isUnescaped(static_cast<unsigned char>(character))) {
            encoded.push_back(character);
        } else {
            encoded.append(fmt::format("%{:02X}", static_cast<unsigned char>(character)));
        }
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const std::optional<unsigned char> byte = text[i] == '%' && i + 2 < text.size()
            ? parseNumber<unsigned char>(text.substr(i + 1, 2), 16)
            : std::nullopt;
        if (byte) {
            decoded.push_back(static_cast<char>(*byte));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

std::string formatVersionTag(std::uint64_t version)
{
    return fmt::format("\"{}\"", version);
}

std::optional<std::uint64_t> parseVersionTag(std::string_view tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    return parseNumber<std::uint64_t>(tag.substr(1, tag.size() - 2), 10);
}

std::string objectTarget(std::string_view key)
{
    return "/objects/" + percentEncode(key);
}

std::string kindTarget(std::string_view kind)
{
    return "/kinds/" + percentEncode(kind);
}

std::string serializeKindListing(const ObjectListing &listing)
{
    Json objects = Json::array();
    for (const KeyedObject &entry : listing.objects) {
        objects.push_back(encodeObject(entry.key, entry.object));
    }
    return writeJson({{"objects", std::move(objects)}, {"revision", listing.revision}, {"era", listing.era}});
}

std::optional<ObjectListing> parseKindListing(std::string_view text)
{
    try {
        const Json document = readJson(text).value_or(Json());
        ObjectListing listing{{}, document.at("revision").get<std::uint64_t>(), eraOf(document)};
        for (const Json &entry : document.at("objects")) {
            listing.objects.push_back({entry.at("key").get<std::string>(), decodeObject(entry)});
        }
        return listing;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string serializeChanges(const ChangeBatch &batch)
{
    Json changes = Json::array();
    for (const ObjectChange &change : batch.changes) {
        Json entry = encodeObject(change.key, change.object);
        entry["removed"] = change.removed;
        entry["revision"] = change.revision;
        changes.push_back(std::move(entry));
    }
    return writeJson({{"changes", std::move(changes)}, {"revision", batch.revision}, {"era", batch.era}});
}

std::optional<ChangeBatch> parseChanges(std::string_view text)
{
    try {
        const Json document = readJson(text).value_or(Json());
        ChangeBatch batch{{}, document.at("revision").get<std::uint64_t>(), eraOf(document)};
        for (const Json &entry : document.at("changes")) {
            batch.changes.push_back({entry.at("key").get<std::string>(), decodeObject(entry),
                                     entry.at("removed").get<bool>(), entry.at("revision").get<std::uint64_t>()});
        }
        return batch;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string serializeListing(const std::vector<ListedObject> &objects)
{
    Json listed = Json::array();
    for (const ListedObject &object : objects) {
        listed.push_back({{"key", object.key}, {"version", object.version}});
    }
    return writeJson({{"objects", std::move(listed)}});
}

std::optional<std::vector<ListedObject>> parseListing(std::string_view text)
{
    try {
        const Json document = readJson(text).value_or(Json());
        std::vector<ListedObject> objects;
        for (const Json &entry : document.at("objects")) {
            objects.push_back({entry.at("key").get<std::string>(), entry.at("version").get<std::uint64_t>()});
        }
        return objects;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

int statusOf(StoreError error)
{
    switch (error) {
    case StoreError::NotFound:
        return 404;
    case StoreError::Conflict:
        return 412;
        return 409;
    case StoreError::TooLarge:
        return 413;
    case StoreError::HistoryLost:
        return 410;
    case StoreError::Unavailable:
    case StoreError::Ambiguous:
        return 503;
    }
    return 500;
}

} // namespace Hibiscus
