#ifndef HIBISCUS_BACKEND_STANDIN_RESPONSETREE_H
#define HIBISCUS_BACKEND_STANDIN_RESPONSETREE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** Header with the tag that identifies a request; the server echoes it. */
constexpr const char *kTagHeader = "X-Tag";
/** Header with the digest over the response and all downstream responses nested in it. */
constexpr const char *kDigestHeader = "X-Digest";
/** Header with the services, methods and paths of the calls from the root request down to this one. */
constexpr const char *kCallPathHeader = "X-Call-Path";

/** Tag of the downstream call number @p index, counted from 0, of the request @p tag. */
std::string childTag(std::string_view tag, std::size_t index);

/**
 * Builds the response body of the request @p tag with body @p requestBody: JSON with the response bodies of the
 * downstream calls, @p children, nested in it. Throws nlohmann::json::exception if one of these isn't valid JSON.
 */
std::string makeResponseBody(std::string_view tag, std::string_view requestBody,
                             const std::vector<std::string> &children, std::size_t paddingBytes);

/** Digest stated in a response body; empty if there is none. */
std::string responseDigest(std::string_view responseBody);

/**
 * Whether @p responseBody is the complete response to the request @p tag with body @p requestBody. Checks the tag and
 * the hash of the request body, the tags of all nested downstream responses, and every digest.
 */
bool isCompleteResponse(std::string_view responseBody, std::string_view tag, std::string_view requestBody);

} // namespace Hibiscus

#endif
