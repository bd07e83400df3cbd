#include "core/textid.h"

#include <algorithm>
#include <cstdint>

namespace Hibiscus
{

namespace
{

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;
constexpr unsigned char kFirstNonAscii = 0x80;
constexpr std::size_t kQuotedBytes = 60;

/** Allowed range of the second byte of a UTF-8 sequence, and the length of the sequence (RFC 3629, section 4). */
struct Sequence {
    std::size_t size = 0; ///< 0 if the first byte begins no sequence.
    unsigned char lowest = 0x80;
    unsigned char highest = 0xbf;
};

Sequence sequenceOf(unsigned char first)
{
    if (first >= 0xc2 && first <= 0xdf) {
        return {2};
    }
    if (first >= 0xe0 && first <= 0xef) {
        const auto lowest = static_cast<unsigned char>(first == 0xe0 ? 0xa0 : 0x80);
        const auto highest = static_cast<unsigned char>(first == 0xed ? 0x9f : 0xbf);
        return {3, lowest, highest};
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const auto lowest = static_cast<unsigned char>(first == 0xf0 ? 0x90 : 0x80);
        const auto highest = static_cast<unsigned char>(first == 0xf4 ? 0x8f : 0xbf);
        return {4, lowest, highest};
    }
    return {};
}

/** Size of the UTF-8 sequence at the start of @p text; 0 if there is no valid one. */
std::size_t sequenceSize(std::string_view text)
{
    const Sequence sequence = sequenceOf(static_cast<unsigned char>(text.front()));
    if (sequence.size == 0 || text.size() < sequence.size) {
        return 0;
    }
    const auto second = static_cast<unsigned char>(text[1]);
    const bool isValid = second >= sequence.lowest && second <= sequence.highest
        && std::all_of(text.begin() + 2, text.begin() + static_cast<std::ptrdiff_t>(sequence.size),
                       [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0U) == kFirstNonAscii; });
    return isValid ? sequence.size : 0;
}

std::string quoted(std::string_view text)
{
    std::string printable(text.substr(0, kQuotedBytes));
    std::replace_if(
        printable.begin(), printable.end(),
        [](char byte) {
            const auto value = static_cast<unsigned char>(byte);
            return value < kFirstPrintable || value >= kDelete;
        },
        '?');
    return "\"" + printable + (text.size() > kQuotedBytes ? "...\"" : "\"");
}

} // namespace

bool isIdText(std::string_view text)
{
    if (text.size() > kMaximumIdBytes) {
        return false;
    }
    std::size_t offset = 0;
    while (offset < text.size()) {
        const auto byte = static_cast<unsigned char>(text[offset]);
        if (byte < kFirstPrintable || byte == kDelete) {
            return false;
        }
        const std::size_t size = byte < kFirstNonAscii ? 1 : sequenceSize(text.substr(offset));
        if (size == 0) {
            return false;
        }
        offset += size;
    }
    return true;
}

InvalidIdText::InvalidIdText(std::string_view text)
    : std::invalid_argument(quoted(text) + " is not a name")
{
}

} // namespace Hibiscus
