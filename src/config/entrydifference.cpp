#include "config/entrydifference.h"

#include <cstddef>

namespace Hibiscus
{

namespace
{

std::string formatFields(const EntryFields &fields)
{
    std::string text;
    for (const auto &[name, value] : fields) {
        text += (text.empty() ? ": " : ", ") + name + " " + value;
    }
    return text;
}

std::string formatChangedFields(const EntryFields &before, const EntryFields &after)
{
    std::string text;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            text += (text.empty() ? ": " : ", ") + before[i].first + " " + before[i].second + " -> " + after[i].second;
        }
    }
    return text;
}

} // namespace

void compareEntries(const std::string &kind, const Entries &before, const Entries &after,
                    std::vector<std::string> &lines)
{
    for (const auto &[key, fields] : before) {
        const auto found = after.find(key);
        if (found == after.end()) {
            lines.push_back("- " + kind + " " + key + formatFields(fields));
        } else if (found->second != fields) {
            lines.push_back("~ " + kind + " " + key + formatChangedFields(fields, found->second));
        }
    }
    for (const auto &[key, fields] : after) {
        if (!before.contains(key)) {
            lines.push_back("+ " + kind + " " + key + formatFields(fields));
        }
    }
}

void compareScalar(const std::string &name, const std::string &before, const std::string &after,
                   std::vector<std::string> &lines)
{
    if (before == after) {
        return;
    }
    lines.push_back("~ " + name + ": " + (before.empty() ? "none" : before) + " -> " + after);
}

} // namespace Hibiscus
