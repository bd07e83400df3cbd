#include "http/headsyntax.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

bool isFieldCharacter(char character)
{
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

} // namespace

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isFieldCharacter);
}

} // namespace Hibiscus
