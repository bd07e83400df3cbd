#ifndef HIBISCUS_CONFIG_DAEMONSETTINGS_H
#define HIBISCUS_CONFIG_DAEMONSETTINGS_H

#include "config/configerror.h"
#include "core/ids.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Longest path of the log folder, in bytes: PATH_MAX of Linux without the terminating null. */
inline constexpr std::size_t kMaximumLogDirectoryBytes = 4095;

/** Settings of one daemon: its identity, its listeners and the addresses that it connects to. */
struct DaemonSettings {
    ServerName server; ///< Backend server beside which the daemon runs; its name in the inventory.
    FailureDomainName domain; ///< Failure domain of that server, as in the inventory.
    HostAddress callers; ///< Listener for callers and operators; may be an unspecified address such as 0.0.0.0.
    HostAddress local; ///< Listener for downstream calls of the local backend server; a loopback address.
    HostAddress peers; ///< Listener for other daemons; the address by which they reach it.
    HostAddress backend; ///< Address of the local backend server.
    std::string healthPath; ///< Path of the backend server's health endpoint.
    HostAddress platform; ///< Address of the platform's object API.
    std::vector<HostAddress> seeds; ///< Peers listeners of the daemons to which this one announces itself.
    int workers = 2; ///< Threads that run the daemon's I/O.
    std::string logDirectory; ///< Folder of the log files; empty for standard output.

    friend bool operator==(const DaemonSettings &, const DaemonSettings &) = default;
};

/** Reads a daemon's settings file: JSON with comments. Every value is checked with DaemonSettingsCheck. */
tl::expected<DaemonSettings, std::vector<ConfigError>> parseDaemonSettings(std::string_view text,
                                                                           const std::string &file);

} // namespace Hibiscus

#endif
