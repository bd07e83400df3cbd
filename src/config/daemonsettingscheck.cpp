#include "config/daemonsettingscheck.h"

#include "config/errorlist.h"
#include "config/jsontext.h"
#include "config/valueformat.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace Hibiscus
{

namespace
{

using nlohmann::json;

constexpr int kMaximumWorkers = 64;
constexpr const char *kAddressAllowed = "an IP address with a port, such as \"10.0.0.1:8080\" or \"[fd00::1]:8080\"";

/** An address of the settings with its location and its parsed form, which is empty if it can't be parsed. */
struct LocatedAddress {
    std::string location;
    const HostAddress &address;
    std::optional<AddressParts> parts;
};

LocatedAddress parseLocated(std::string location, const HostAddress &address)
{
    return {std::move(location), address, parseAddress(address.value())};
}

/** Whether two addresses on the same host overlap: equal ports, and equal or unspecified hosts. */
bool conflict(const LocatedAddress &a, const LocatedAddress &b)
{
    if (!a.parts || !b.parts || a.parts->port != b.parts->port) {
        return false;
    }
    return a.address == b.address || a.parts->unspecified || b.parts->unspecified;
}

/** Checks the values of one daemon's settings. */
class SettingsChecker
{
public:
    SettingsChecker(const DaemonSettings &settings, ErrorList &errors)
        : settings_(settings)
        , errors_(errors)
        , listeners_{parseLocated("/callers", settings.callers), parseLocated("/local", settings.local),
                     parseLocated("/peers", settings.peers)}
    {
    }

    void run()
    {
        checkName("/server", settings_.server.value());
        checkName("/domain", settings_.domain.value());
        checkListeners();
        checkRemote(parseLocated("/backend", settings_.backend),
                    "an address other than the daemon's own listeners, which "
                    "would forward requests to themselves endlessly");
        checkRemote(parseLocated("/platform", settings_.platform), "an address other than the daemon's own listeners");
        checkHealthPath();
        checkSeeds();
        checkWorkers();
        checkLogDirectory();
    }

private:
    void checkName(const std::string &location, const std::string &name)
    {
        if (!isName(name)) {
            errors_.add(location, json(name), kNameAllowed);
        }
    }

    /** Whether the address was parsed; reports one that wasn't. */
    bool checkAddress(const LocatedAddress &address)
    {
        if (!address.parts) {
            errors_.add(address.location, json(address.address.value()), kAddressAllowed);
        }
        return address.parts.has_value();
    }

    /** Whether the address can be connected to; reports one that can't be parsed or is unspecified. */
    bool checkReachable(const LocatedAddress &address)
    {
        if (!checkAddress(address)) {
            return false;
        }
        if (address.parts->unspecified) {
            errors_.add(address.location, json(address.address.value()),
                        "the address of one interface, so that others can connect to it");
        }
        return !address.parts->unspecified;
    }

    void checkListeners()
    {
        checkAddress(listeners_[0]);
        if (checkAddress(listeners_[1]) && !listeners_[1].parts->loopback) {
            errors_.add("/local", json(settings_.local.value()),
                        "a loopback address, since only the local backend server may connect to it");
        }
        checkReachable(listeners_[2]);
        for (std::size_t i = 1; i < listeners_.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (conflict(listeners_[i], listeners_[j])) {
                    errors_.add(listeners_[i].location, json(listeners_[i].address.value()),
                                "an address other than that of " + listeners_[j].location);
                }
            }
        }
    }

    void checkRemote(const LocatedAddress &address, const std::string &allowed)
    {
        if (!checkReachable(address)) {
            return;
        }
        // Another host may use the same port, so a listener on all interfaces only conflicts with a loopback address.
        const bool isOwnListener =
            std::any_of(listeners_.begin(), listeners_.end(), [&](const LocatedAddress &listener) {
                return listener.address == address.address || (conflict(listener, address) && address.parts->loopback);
            });
        if (isOwnListener) {
            errors_.add(address.location, json(address.address.value()), allowed);
        }
    }

    void checkHealthPath()
    {
        const std::string &path = settings_.healthPath;
        const bool printable =
            std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c != '#' && c < '\x7f'; });
        if (path.empty() || path.front() != '/' || !printable) {
            errors_.add("/healthPath", json(path), "a path that starts with '/', without spaces or a fragment");
        }
    }

    void checkSeeds()
    {
        if (settings_.seeds.empty()) {
            errors_.add("/seeds", json::array(), "a list with the peers address of at least one daemon");
        }
        std::set<std::string_view> seen;
        std::size_t index = 0;
        for (const HostAddress &seed : settings_.seeds) {
            const std::string location = childLocation("/seeds", index++);
            if (checkReachable(parseLocated(location, seed)) && !seen.insert(seed.value()).second) {
                errors_.add(location, json(seed.value()), "each seed only once");
            }
        }
    }

    void checkWorkers()
    {
        if (settings_.workers < 1 || settings_.workers > kMaximumWorkers) {
            errors_.add("/workers", json(settings_.workers), "an integer from 1 to " + std::to_string(kMaximumWorkers));
        }
    }

    void checkLogDirectory()
    {
        const std::string &directory = settings_.logDirectory;
        // A relative path would depend on the working directory in which the daemon is started.
        if (!directory.empty() && (directory.front() != '/' || directory.size() > kMaximumLogDirectoryBytes)) {
            errors_.add("/logDirectory", json(directory), "an absolute path");
        }
    }

    const DaemonSettings &settings_;
    ErrorList &errors_;
    std::array<LocatedAddress, 3> listeners_;
};

} // namespace

DaemonSettingsCheck::DaemonSettingsCheck(std::string file)
    : file_(std::move(file))
{
}

std::vector<ConfigError> DaemonSettingsCheck::check(const DaemonSettings &settings) const
{
    ErrorList errors(file_);
    SettingsChecker(settings, errors).run();
    return errors.extractErrors();
}

std::vector<ConfigError> DaemonSettingsCheck::checkAgainst(const DaemonSettings &settings,
                                                           const Inventory &inventory) const
{
    ErrorList errors(file_);
    const BackendServerEntry *server = findServer(inventory, settings.server);
    if (server == nullptr) {
        errors.add("/server", json(settings.server.value()), "the name of a server in the inventory");
    } else if (server->domain != settings.domain) {
        errors.add("/domain", json(settings.domain.value()),
                   server->domain.value() + ", the domain of server " + server->name.value() + " in the inventory");
    }
    return errors.extractErrors();
}

} // namespace Hibiscus
