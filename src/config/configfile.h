#ifndef HIBISCUS_CONFIG_CONFIGFILE_H
#define HIBISCUS_CONFIG_CONFIGFILE_H

#include "config/configerror.h"

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Kinds of files that operators write. */
enum class ConfigFileKind {
    Inventory,
    Rules,
    DaemonSettings,
};

/** Content of the file at @p path; the error says why it can't be read. */
tl::expected<std::string, ConfigError> readConfigFile(const std::string &path);

/**
 * Kind of a file by the keys that it has, however faulty the rest of it is. Empty if the text isn't a JSON object or
 * has no key of any kind.
 */
std::optional<ConfigFileKind> detectConfigFileKind(std::string_view text);

} // namespace Hibiscus

#endif
