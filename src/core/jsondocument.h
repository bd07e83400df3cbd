#ifndef HIBISCUS_CORE_JSONDOCUMENT_H
#define HIBISCUS_CORE_JSONDOCUMENT_H

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace Hibiscus
{

/** Deepest nesting of a document that is read. Writing and comparing documents take a call of a function per level. */
inline constexpr int kMaximumJsonDepth = 64;

/** Reads a document that another process has written; empty if it isn't valid JSON or is nested too deep. */
std::optional<nlohmann::json> readJson(std::string_view text);

/** JSON text of @p value in one line. Bytes that are not UTF-8 are replaced, so this doesn't throw. */
std::string writeJson(const nlohmann::json &value);

} // namespace Hibiscus

#endif
