#include "backend_standin/responsetree.h"

#include "core/contenthash.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

using Json = nlohmann::json;

std::string hashText(std::string_view text)
{
    return fmt::format("{:016x}", stableHash(text));
}

/** Digest over all members of a node except its own digest. Children are covered by their digests. */
std::string computeDigest(const Json &node)
{
    std::string text = node.at("tag").get<std::string>() + "|" + node.at("body").get<std::string>() + "|"
        + hashText(node.at("padding").get_ref<const std::string &>());
    for (const Json &child : node.at("children")) {
        text += "|" + child.at("digest").get<std::string>();
    }
    return hashText(text);
}

bool isConsistent(const Json &node, const std::string &tag)
{
    if (node.at("tag") != tag || node.at("digest") != computeDigest(node)) {
        return false;
    }
    const Json &children = node.at("children");
    for (std::size_t i = 0; i < children.size(); ++i) {
        if (!isConsistent(children.at(i), childTag(tag, i))) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string childTag(std::string_view tag, std::size_t index)
{
    return fmt::format("{}.{}", tag, index);
}

std::string makeResponseBody(std::string_view tag, std::string_view requestBody,
                             const std::vector<std::string> &children, std::size_t paddingBytes)
{
    Json node = Json::object();
    node["tag"] = tag;
    node["body"] = hashText(requestBody);
    node["padding"] = std::string(paddingBytes, 'p');
    node["children"] = Json::array();
    for (const std::string &child : children) {
        node["children"].push_back(Json::parse(child));
    }
    node["digest"] = computeDigest(node);
    return node.dump();
}

std::string responseDigest(std::string_view responseBody)
{
    const Json node = Json::parse(responseBody, nullptr, false);
    return node.is_object() ? node.value("digest", "") : "";
}

bool isCompleteResponse(std::string_view responseBody, std::string_view tag, std::string_view requestBody)
{
    try {
        const Json node = Json::parse(responseBody);
        return node.at("body") == hashText(requestBody) && isConsistent(node, std::string(tag));
    } catch (const Json::exception &) {
        return false;
    }
}

} // namespace Hibiscus
