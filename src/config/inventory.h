#ifndef HIBISCUS_CONFIG_INVENTORY_H
#define HIBISCUS_CONFIG_INVENTORY_H

#include "config/configerror.h"
#include "core/ids.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** One backend server with its capacity from the operators' asset register. */
struct BackendServerEntry {
    ServerName name;
    ServiceName service;
    FailureDomainName domain;
    int slots = 0; ///< Requests that the server runs concurrently.
    int connections = 0; ///< Connections that the server accepts concurrently.

    friend bool operator==(const BackendServerEntry &, const BackendServerEntry &) = default;
};

/** One failure domain: hosts that may fail together. */
struct FailureDomainEntry {
    FailureDomainName name;
    std::string region;

    friend bool operator==(const FailureDomainEntry &, const FailureDomainEntry &) = default;
};

/** Failure domains, services and backend servers of a deployment. */
struct Inventory {
    std::vector<FailureDomainEntry> domains;
    std::vector<ServiceName> services;
    std::vector<BackendServerEntry> servers;

    friend bool operator==(const Inventory &, const Inventory &) = default;
};

/** Server with the given name; null if the inventory has none. */
const BackendServerEntry *findServer(const Inventory &inventory, const ServerName &name);

/** Servers of one failure domain in the order of the inventory. */
std::vector<ServerName> serversInDomain(const Inventory &inventory, const FailureDomainName &domain);

/** Reads an inventory file: JSON with comments. Returns all errors of the file; they name @p file. */
tl::expected<Inventory, std::vector<ConfigError>> parseInventory(std::string_view text, const std::string &file);

} // namespace Hibiscus

#endif
