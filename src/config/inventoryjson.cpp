#include "config/inventoryjson.h"

#include "config/nameregistry.h"
#include "config/objectreader.h"
#include "config/valueformat.h"

#include <cstdint>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

constexpr std::int64_t kMaximumSlots = 100'000;
constexpr std::int64_t kMaximumConnections = 1'000'000;

/** Reads one inventory. The registries check the names that its entries define and refer to. */
class InventoryReader
{
public:
    explicit InventoryReader(ErrorList &errors)
        : errors_(errors)
        , domains_("failure domain", errors)
        , services_("service", errors)
        , servers_("server", errors)
    {
    }

    Inventory read(const json &value, const std::string &location)
    {
        ObjectReader reader(value, location, errors_);
        reader.list("domains", false,
                    [this](const json &entry, const std::string &entryLocation) { readDomain(entry, entryLocation); });
        reader.list("services", false,
                    [this](const json &entry, const std::string &entryLocation) { readService(entry, entryLocation); });
        reader.list("servers", false,
                    [this](const json &entry, const std::string &entryLocation) { readServer(entry, entryLocation); });
        reader.finish();
        if (!inventory_.servers.empty()) {
            // A domain without servers has no daemon to confirm a change, so no change would ever be accepted.
            domains_.reportUnused("a failure domain with at least one server");
            services_.reportUnused("a service with at least one server");
        }
        return std::move(inventory_);
    }

private:
    void readDomain(const json &value, const std::string &location)
    {
        ObjectReader reader(value, location, errors_);
        FailureDomainEntry entry;
        entry.name = FailureDomainName(reader.name("name"));
        entry.region = reader.name("region");
        reader.finish();
        domains_.addDefinition(entry.name.value(), reader.locationOf("name"));
        inventory_.domains.push_back(std::move(entry));
    }

    void readService(const json &value, const std::string &location)
    {
        if (!value.is_string() || !isName(value.get_ref<const std::string &>())) {
            errors_.add(location, value, kNameAllowed);
            return;
        }
        services_.addDefinition(value.get<std::string>(), location);
        inventory_.services.emplace_back(value.get<std::string>());
    }

    void readServer(const json &value, const std::string &location)
    {
        ObjectReader reader(value, location, errors_);
        BackendServerEntry entry;
        entry.name = ServerName(reader.name("name"));
        entry.service = ServiceName(reader.name("service"));
        entry.domain = FailureDomainName(reader.name("domain"));
        entry.slots = static_cast<int>(reader.integer("slots", 1, kMaximumSlots));
        // Each request needs a connection of its own, so slots beyond the connections could never be used.
        entry.connections = static_cast<int>(reader.integer("connections", entry.slots, kMaximumConnections));
        reader.finish();
        servers_.addDefinition(entry.name.value(), reader.locationOf("name"));
        services_.addReference(entry.service.value(), reader.locationOf("service"));
        domains_.addReference(entry.domain.value(), reader.locationOf("domain"));
        inventory_.servers.push_back(std::move(entry));
    }

    ErrorList &errors_;
    NameRegistry domains_;
    NameRegistry services_;
    NameRegistry servers_;
    Inventory inventory_;
};

} // namespace

Inventory readInventory(const json &value, const std::string &location, ErrorList &errors)
{
    return InventoryReader(errors).read(value, location);
}

json writeInventory(const Inventory &inventory)
{
    json domains = json::array();
    for (const FailureDomainEntry &domain : inventory.domains) {
        domains.push_back({{"name", domain.name.value()}, {"region", domain.region}});
    }
    json services = json::array();
    for (const ServiceName &service : inventory.services) {
        services.push_back(service.value());
    }
    json servers = json::array();
    for (const BackendServerEntry &server : inventory.servers) {
        servers.push_back({{"name", server.name.value()},
                           {"service", server.service.value()},
                           {"domain", server.domain.value()},
                           {"slots", server.slots},
                           {"connections", server.connections}});
    }
    return {{"domains", domains}, {"services", services}, {"servers", servers}};
}

} // namespace Hibiscus
