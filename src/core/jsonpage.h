#ifndef HIBISCUS_CORE_JSONPAGE_H
#define HIBISCUS_CORE_JSONPAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus
{

/** JSON object whose entries are texts of their own, so that one that can't be read does not spoil the others. */
struct JsonPage {
    std::string envelope; ///< The object with an empty array in place of its entries.
    std::vector<std::string_view> entries; ///< Elements of the array, unread; they refer to the text of the page.
};

/**
 * Splits the object in @p text at the array that is its member @p member. Only strings and brackets are looked at, so
 * the entries may hold any bytes. Without such a member the envelope is the whole text.
 */
JsonPage splitJsonPage(std::string_view text, std::string_view member);

} // namespace Hibiscus

#endif
