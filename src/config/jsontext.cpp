#include "config/jsontext.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

/** Deepest accepted nesting. The formats need 4 levels; printing a value uses stack for each level. */
constexpr std::size_t kMaximumDepth = 32;

/** Thrown by the parser callback to stop at text that is nested too deeply. */
struct NestingTooDeep {
};

/** Handles parser events to report keys that occur twice in an object. */
class DuplicateKeyFinder
{
public:
    explicit DuplicateKeyFinder(ErrorList &errors)
        : errors_(errors)
    {
    }

    void handle(json::parse_event_t event, const json &parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
            openLevel(false);
            return;
        case json::parse_event_t::array_start:
            openLevel(true);
            return;
        case json::parse_event_t::key:
            addKey(parsed.get<std::string>());
            return;
        case json::parse_event_t::value:
            endValue();
            return;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            levels_.pop_back();
            endValue();
            return;
        }
    }

private:
    struct Level {
        bool array = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void openLevel(bool array)
    {
        if (levels_.size() == kMaximumDepth) {
            throw NestingTooDeep();
        }
        levels_.push_back({array, 0, {}, {}});
    }

    void addKey(const std::string &key)
    {
        Level &level = levels_.back();
        level.key = key;
        if (!level.keys.insert(key).second) {
            errors_.add(location(), json(key), "each key only once in an object");
        }
    }

    std::string location() const
    {
        std::string result;
        for (const Level &level : levels_) {
            result = level.array ? childLocation(result, level.index) : childLocation(result, level.key);
        }
        return result;
    }

    void endValue()
    {
        if (!levels_.empty() && levels_.back().array) {
            ++levels_.back().index;
        }
    }

    ErrorList &errors_;
    std::vector<Level> levels_;
};

/** Position of a byte as "line 3, column 7". Columns are counted in bytes; both numbers start at 1. */
std::string lineAndColumn(std::string_view text, std::size_t byte)
{
    const std::string_view before = text.substr(0, std::min(byte, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t lastBreak = before.rfind('\n');
    const std::size_t column = lastBreak == std::string_view::npos ? before.size() : before.size() - lastBreak - 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column + 1);
}

/** The JSON library's message without its error number, its position and the quoted input. */
std::string syntaxMessage(const json::parse_error &error)
{
    constexpr std::string_view kQuotePrefix = "; last read: '";
    std::string message = error.what();
    const std::size_t start = message.find(": ");
    if (start != std::string::npos) {
        message.erase(0, start + 2);
    }
    const std::size_t quote = message.find(kQuotePrefix);
    if (quote != std::string::npos) {
        const std::size_t end = message.rfind("'; expected");
        message.erase(quote,
                      end != std::string::npos && end >= quote + kQuotePrefix.size() ? end + 1 - quote
                                                                                     : std::string::npos);
    }
    return "valid JSON (" + message + ")";
}

void reportSyntaxError(std::string_view text, const json::parse_error &error, ErrorList &errors)
{
    // The library counts bytes from 1 and reports the last byte that it read.
    const std::size_t position = error.byte > 0 ? error.byte - 1 : 0;
    if (position >= text.size()) {
        errors.addUnquoted(lineAndColumn(text, text.size()), "end of file", syntaxMessage(error));
        return;
    }
    const std::string_view rest = text.substr(position);
    const std::string_view word =
        rest.substr(0, std::max<std::size_t>(1, std::min(rest.find_first_of(" \t\r\n,"), std::size_t{20})));
    errors.add(lineAndColumn(text, position), json(std::string(word)), syntaxMessage(error));
}

} // namespace

std::string childLocation(const std::string &location, std::string_view key)
{
    std::string result = location + "/";
    for (const char c : key) {
        if (c == '~') {
            result += "~0";
        } else if (c == '/') {
            result += "~1";
        } else {
            result += c;
        }
    }
    return result;
}

std::string childLocation(const std::string &location, std::size_t index)
{
    return location + "/" + std::to_string(index);
}

json parseJsonText(std::string_view text, ErrorList &errors)
{
    if (text.size() > kMaximumTextBytes) {
        errors.addUnquoted("/", std::to_string(text.size()) + " bytes",
                           "at most " + std::to_string(kMaximumTextBytes) + " bytes");
        return nullptr;
    }
    DuplicateKeyFinder finder(errors);
    const auto callback = [&finder](int /*depth*/, json::parse_event_t event, json &parsed) {
        finder.handle(event, parsed);
        return true;
    };
    try {
        return json::parse(text, callback, true, true);
    } catch (const json::parse_error &error) {
        reportSyntaxError(text, error, errors);
    } catch (const json::exception &error) {
        // A number too large for any type, which the library reports without its position.
        errors.addUnquoted("/", "number", error.what());
    } catch (const NestingTooDeep &) {
        errors.addUnquoted("/", "nested lists or objects",
                           "at most " + std::to_string(kMaximumDepth) + " levels of nesting");
    }
    return nullptr;
}

} // namespace Hibiscus
