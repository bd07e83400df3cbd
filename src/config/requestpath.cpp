#include "config/requestpath.h"

#include <charconv>
#include <cstddef>
#include <vector>

namespace Hibiscus
{

namespace
{

constexpr int kHexadecimalBase = 16;

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char *digits = text.data() + i + 1;
            const auto result = std::from_chars(digits, digits + 2, byte, kHexadecimalBase);
            if (result.ec == std::errc() && result.ptr == digits + 2) {
                decoded += static_cast<char>(byte);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

std::vector<std::string_view> resolveSegments(std::string_view path)
{
    std::vector<std::string_view> segments;
    while (!path.empty()) {
        const std::size_t end = path.find('/');
        const std::string_view segment = path.substr(0, end);
        path = end == std::string_view::npos ? std::string_view() : path.substr(end + 1);
        if (segment.empty() || segment == ".") {
            continue;
        }
        if (segment != "..") {
            segments.push_back(segment);
        } else if (!segments.empty()) {
            segments.pop_back();
        }
    }
    return segments;
}

} // namespace

std::string normalizePath(std::string_view path)
{
    const std::string decoded = percentDecode(path.substr(0, path.find_first_of("?#")));
    std::string normalized;
    for (const std::string_view segment : resolveSegments(decoded)) {
        normalized += '/';
        normalized += segment;
    }
    return normalized.empty() ? "/" : normalized;
}

bool pathStartsWith(std::string_view path, std::string_view prefix)
{
    if (prefix == "/") {
        return true;
    }
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace Hibiscus
