#ifndef HIBISCUS_BACKEND_STANDIN_ANSWERTREE_H
#define HIBISCUS_BACKEND_STANDIN_ANSWERTREE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** Header by which a request is told from all others; a server echoes it. */
constexpr const char *kTagHeader = "X-Tag";
/** Header with the digest of the whole answer tree. */
constexpr const char *kDigestHeader = "X-Digest";
/** Header with the services and paths from the root request down to this one. */
constexpr const char *kCallPathHeader = "X-Call-Path";

/** Tag of the downstream call number @p index of a request. */
std::string childTag(std::string_view tag, std::size_t index);

/** Answer body of the request @p tag with body @p requestBody: nested JSON with the answers of the downstream calls. */
std::string makeAnswer(std::string_view tag, std::string_view requestBody, const std::vector<std::string> &children,
                       std::size_t paddingBytes);

/** Digest that an answer body states; empty if it states none. */
std::string answerDigest(std::string_view answer);

/** Whether @p answer is the whole answer of the request: its tag and body hash, the tags of all downstream answers, and
 * the digest over all of them. */
bool isWholeAnswer(std::string_view answer, std::string_view tag, std::string_view requestBody);

} // namespace Hibiscus

#endif
