#include "platform/httpobjectstore.h"

#include "platform/objectprotocol.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace Hibiscus
{

namespace
{

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr int kFirstErrorStatus = 300;

/** Error reported in a response. Without the platform's error header, a write may still have taken effect. */
StoreError errorOfResponse(const StoreResponse &response, StoreCallKind kind)
{
    const std::optional<StoreError> reported = storeErrorFromName(response.header(kErrorHeader));
    return reported ? *reported : errorWithoutResponse(kind);
}

std::optional<std::uint64_t> versionOf(const StoreResponse &response)
{
    return parseVersionTag(response.header("ETag"));
}

Fields writeFields(std::uint64_t expectedVersion)
{
    Fields fields;
    if (expectedVersion == 0) {
        fields.emplace_back("If-None-Match", "*");
    } else {
        fields.emplace_back("If-Match", formatVersionTag(expectedVersion));
    }
    return fields;
}

StoreCall readCall(std::string target, Millis wait = {})
{
    return {StoreCallKind::Read, "GET", std::move(target), {}, {}, {}, wait};
}

} // namespace

HttpObjectStore::HttpObjectStore(StoreTransportSettings settings)
    : transport_(std::move(settings))
{
}

HttpObjectStore::~HttpObjectStore() = default;

StoreResult<StoreResponse> HttpObjectStore::call(const StoreCall &call)
{
    StoreResult<StoreResponse> response = transport_.call(call);
    if (response && response->status >= kFirstErrorStatus) {
        return tl::unexpected(errorOfResponse(*response, call.kind));
    }
    return response;
}

StoreResult<StoredObject> HttpObjectStore::get(const std::string &key)
{
    const auto response = call(readCall(objectTarget(key)));
    if (!response) {
        return tl::unexpected(response.error());
    }
    const std::optional<std::uint64_t> version = versionOf(*response);
    if (!version) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return StoredObject{response->body, *version};
}

StoreResult<std::uint64_t> HttpObjectStore::put(const std::string &key, const std::string &value,
                                                std::uint64_t expectedVersion)
{
    if (value.size() > kMaximumValueBytes) {
        return tl::unexpected(StoreError::TooLarge);
    }
    const auto response = call({StoreCallKind::Write,
                                "PUT",
                                objectTarget(key),
                                writeFields(expectedVersion),
                                value,
                                "application/octet-stream",
                                {}});
    if (!response) {
        return tl::unexpected(response.error());
    }
    const std::optional<std::uint64_t> version = versionOf(*response);
    if (!version) {
        return tl::unexpected(StoreError::Ambiguous);
    }
    return *version;
}

StoreResult<std::uint64_t> HttpObjectStore::create(const std::string &key, const std::string &value)
{
    return put(key, value, 0);
}

StoreResult<std::uint64_t> HttpObjectStore::update(const std::string &key, const std::string &value,
                                                   std::uint64_t expectedVersion)
{
    if (expectedVersion == 0) {
        return tl::unexpected(StoreError::Conflict);
    }
    return put(key, value, expectedVersion);
}

StoreResult<void> HttpObjectStore::remove(const std::string &key, std::uint64_t expectedVersion)
{
    const auto response =
        call({StoreCallKind::Write, "DELETE", objectTarget(key), writeFields(expectedVersion), {}, {}, {}});
    if (!response) {
        return tl::unexpected(response.error());
    }
    return {};
}

StoreResult<std::vector<ListedObject>> HttpObjectStore::list(const std::string &prefix)
{
    const auto response = call(readCall("/objects?prefix=" + percentEncode(prefix)));
    if (!response) {
        return tl::unexpected(response.error());
    }
    std::optional<std::vector<ListedObject>> listed = parseListing(response->body);
    if (!listed) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return *std::move(listed);
}

StoreResult<ObjectListing> HttpObjectStore::listKind(const std::string &kind, ReadMode /*mode*/)
{
    const auto response = call(readCall(kindTarget(kind)));
    if (!response) {
        return tl::unexpected(response.error());
    }
    std::optional<ObjectListing> listing = parseKindListing(response->body);
    if (!listing) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return *std::move(listing);
}

StoreResult<ChangeBatch> HttpObjectStore::watchKind(const std::string &kind, std::uint64_t revision, Millis timeout,
                                                    ReadMode /*mode*/)
{
    const auto response = call(readCall(
        fmt::format("{}?after={}&wait_ms={:.0f}", kindTarget(kind), revision, std::max(0.0, timeout.value)), timeout));
    if (!response) {
        return tl::unexpected(response.error());
    }
    std::optional<ChangeBatch> batch = parseChanges(response->body);
    if (!batch) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return *std::move(batch);
}

void HttpObjectStore::interrupt()
{
    transport_.interrupt();
}

} // namespace Hibiscus
