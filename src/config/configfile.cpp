#include "config/configfile.h"

#include "config/jsontext.h"

#include <array>
#include <cerrno>
#include <fstream>
#include <system_error>
#include <utility>

namespace Hibiscus
{

namespace
{

ConfigError readError(const std::string &path, const std::string &reason)
{
    return {path, "/", reason, "a readable file of at most " + std::to_string(kMaximumTextBytes) + " bytes"};
}

} // namespace

tl::expected<std::string, ConfigError> readConfigFile(const std::string &path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    // Reading one byte more than is allowed detects a file that is too large, without reading all of an endless device.
    std::string text(kMaximumTextBytes + 1, '\0');
    if (!file || (!file.read(text.data(), static_cast<std::streamsize>(text.size())) && !file.eof())) {
        return tl::unexpected(readError(path, std::generic_category().message(errno == 0 ? EIO : errno)));
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMaximumTextBytes) {
        return tl::unexpected(readError(path, "file too large"));
    }
    return text;
}

std::optional<ConfigFileKind> detectConfigFileKind(std::string_view text)
{
    constexpr std::array<std::pair<const char *, ConfigFileKind>, 8> kKindByKey{{
        {"servers", ConfigFileKind::Inventory},
        {"domains", ConfigFileKind::Inventory},
        {"classes", ConfigFileKind::Rules},
        {"routes", ConfigFileKind::Rules},
        {"defaultClass", ConfigFileKind::Rules},
        {"server", ConfigFileKind::DaemonSettings},
        {"callers", ConfigFileKind::DaemonSettings},
        {"peers", ConfigFileKind::DaemonSettings},
    }};
    ErrorList ignored("");
    const nlohmann::json value = parseJsonText(text, ignored);
    for (const auto &[key, kind] : kKindByKey) {
        if (value.is_object() && value.contains(key)) {
            return kind;
        }
    }
    return {};
}

} // namespace Hibiscus
