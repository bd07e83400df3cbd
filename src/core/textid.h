#ifndef HIBISCUS_CORE_TEXTID_H
#define HIBISCUS_CORE_TEXTID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus
{

/** Longest id that is taken from another process. */
inline constexpr std::size_t kMaximumReceivedIdBytes = 256;
/** Longest text of an id, which may be made of several names. */
inline constexpr std::size_t kMaximumIdBytes = 1024;

/** Whether @p text may stand behind an id: UTF-8 without control characters, at most kMaximumIdBytes long. */
bool isIdText(std::string_view text);

/** Thrown where text becomes an id without having been checked. */
class InvalidIdText : public std::invalid_argument
{
public:
    /** @p text is quoted, shortened and without bytes that can't be printed. */
    explicit InvalidIdText(std::string_view text);
};

/**
 * Name or address that can't be confused with one of another kind. The text behind it is always valid: it can be part
 * of a key, a header field, a log line or JSON text, whoever has written it.
 */
template<class Tag>
class TextId
{
public:
    TextId() = default;

    /** Throws InvalidIdText if @p value isn't isIdText(). */
    explicit TextId(std::string value)
        : value_(std::move(value))
    {
        if (!isIdText(value_)) {
            throw InvalidIdText(value_);
        }
    }

    /** The id that another process calls @p text; empty if that is no name: empty, too long or not isIdText(). */
    static std::optional<TextId> parse(std::string_view text)
    {
        const bool isName = !text.empty() && text.size() <= kMaximumReceivedIdBytes && isIdText(text);
        return isName ? std::optional(TextId(std::string(text))) : std::nullopt;
    }

    const std::string &value() const
    {
        return value_;
    }

    friend auto operator<=>(const TextId &, const TextId &) = default;

private:
    std::string value_;
};

} // namespace Hibiscus

template<class Tag>
struct std::hash<Hibiscus::TextId<Tag>> {
    std::size_t operator()(const Hibiscus::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

#endif
