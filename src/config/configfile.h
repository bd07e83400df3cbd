#ifndef HIBISCUS_CONFIG_CONFIGFILE_H
#define HIBISCUS_CONFIG_CONFIGFILE_H

#include "config/configerror.h"

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Kinds of configuration files that operators write. */
enum class ConfigFileKind {
    Inventory,
    Rules,
    DaemonSettings,
};

/** Content of the file at @p path, at most kMaximumTextBytes; the error says why it can't be read. */
tl::expected<std::string, ConfigError> readConfigFile(const std::string &path);

/**
 * Kind of a file according to its top-level keys, whose values may be invalid. Empty if the text isn't a JSON object
 * or has none of the keys that identify a kind.
 */
std::optional<ConfigFileKind> detectConfigFileKind(std::string_view text);

} // namespace Hibiscus

#endif
