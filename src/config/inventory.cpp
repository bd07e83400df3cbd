#include "config/inventory.h"

#include "config/inventoryjson.h"
#include "config/jsontext.h"

#include <algorithm>

namespace Hibiscus
{

const BackendServerEntry *findServer(const Inventory &inventory, const ServerName &name)
{
    const auto found = std::find_if(inventory.servers.begin(), inventory.servers.end(),
                                    [&name](const BackendServerEntry &server) { return server.name == name; });
    return found == inventory.servers.end() ? nullptr : &*found;
}

std::vector<ServerName> serversInDomain(const Inventory &inventory, const FailureDomainName &domain)
{
    std::vector<ServerName> servers;
    for (const BackendServerEntry &server : inventory.servers) {
        if (server.domain == domain) {
            servers.push_back(server.name);
        }
    }
    return servers;
}

tl::expected<Inventory, std::vector<ConfigError>> parseInventory(std::string_view text, const std::string &file)
{
    ErrorList errors(file);
    const nlohmann::json value = parseJsonText(text, errors);
    if (value.is_null() && !errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    Inventory inventory = readInventory(value, "", errors);
    if (!errors.empty()) {
        return tl::unexpected(errors.extractErrors());
    }
    return inventory;
}

} // namespace Hibiscus
