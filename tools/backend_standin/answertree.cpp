#include "backend_standin/answertree.h"

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

/** Digest over everything in a node but the digest itself; the children's digests stand for the children. */
std::string digestOf(const Json &node)
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
    if (node.at("tag") != tag || node.at("digest") != digestOf(node)) {
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

std::string makeAnswer(std::string_view tag, std::string_view requestBody, const std::vector<std::string> &children,
                       std::size_t paddingBytes)
{
    Json node = Json::object();
    node["tag"] = tag;
    node["body"] = hashText(requestBody);
    node["padding"] = std::string(paddingBytes, 'p');
    node["children"] = Json::array();
    for (const std::string &child : children) {
        node["children"].push_back(Json::parse(child));
    }
    node["digest"] = digestOf(node);
    return node.dump();
}

std::string answerDigest(std::string_view answer)
{
    const Json node = Json::parse(answer, nullptr, false);
    return node.is_object() ? node.value("digest", "") : "";
}

bool isWholeAnswer(std::string_view answer, std::string_view tag, std::string_view requestBody)
{
    try {
        const Json node = Json::parse(answer);
        return node.at("body") == hashText(requestBody) && isConsistent(node, std::string(tag));
    } catch (const Json::exception &) {
        return false;
    }
}

} // namespace Hibiscus
