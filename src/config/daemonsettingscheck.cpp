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

/** An address of the settings with its location. */
struct NamedAddress {
    std::string location;
    const HostAddress &address;
    std::optional<AddressParts> parts;
};

NamedAddress named(std::string location, const HostAddress &address)
{
    return {std::move(location), address, parseAddress(address.value())};
}

/** Whether both addresses reach the same listener on one host. */
bool clash(const NamedAddress &a, const NamedAddress &b)
{
    if (!a.parts || !b.parts || a.parts->port != b.parts->port) {
        return false;
    }
    return a.address == b.address || a.parts->unspecified || b.parts->unspecified;
}

class Check
{
public:
    Check(const DaemonSettings &settings, ErrorList &errors)
        : settings_(settings)
        , errors_(errors)
        , listeners_{named("/callers", settings.callers), named("/local", settings.local),
                     named("/peers", settings.peers)}
    {
    }

    void run()
    {
        checkName("/server", settings_.server.value());
        checkName("/domain", settings_.domain.value());
        checkListeners();
        checkRemote(named("/backend", settings_.backend),
                    "an address other than the daemon's own listeners, to which "
                    "it would forward requests for ever");
        checkRemote(named("/platform", settings_.platform), "an address other than the daemon's own listeners");
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

    /** Reports an address that can't be parsed; returns whether it can. */
    bool checkAddress(const NamedAddress &address)
    {
        if (!address.parts) {
            errors_.add(address.location, json(address.address.value()), kAddressAllowed);
        }
        return address.parts.has_value();
    }

    /** For addresses that others connect to. */
    bool checkReachable(const NamedAddress &address)
    {
        if (!checkAddress(address)) {
            return false;
        }
        if (address.parts->unspecified) {
            errors_.add(address.location, json(address.address.value()),
                        "the address of one interface, to which others can connect");
        }
        return !address.parts->unspecified;
    }

    void checkListeners()
    {
        checkAddress(listeners_[0]);
        if (checkAddress(listeners_[1]) && !listeners_[1].parts->loopback) {
            errors_.add("/local", json(settings_.local.value()),
                        "a loopback address, since only the local backend server may call it");
        }
        checkReachable(listeners_[2]);
        for (std::size_t i = 1; i < listeners_.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (clash(listeners_[i], listeners_[j])) {
                    errors_.add(listeners_[i].location, json(listeners_[i].address.value()),
                                "an address other than that of " + listeners_[j].location);
                }
            }
        }
    }

    void checkRemote(const NamedAddress &address, const std::string &allowed)
    {
        if (!checkReachable(address)) {
            return;
        }
        // Another host may use the same port, so a listener on all interfaces only clashes with a loopback address.
        const bool own = std::any_of(listeners_.begin(), listeners_.end(), [&](const NamedAddress &listener) {
            return listener.address == address.address || (clash(listener, address) && address.parts->loopback);
        });
        if (own) {
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
            errors_.add("/seeds", json::array(), "the peers address of a daemon or more");
        }
        std::set<std::string_view> seen;
        std::size_t index = 0;
        for (const HostAddress &seed : settings_.seeds) {
            const std::string location = childLocation("/seeds", index++);
            if (checkReachable(named(location, seed)) && !seen.insert(seed.value()).second) {
                errors_.add(location, json(seed.value()), "each seed once");
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
        // A relative folder would depend on the folder in which the daemon is started.
        if (!directory.empty() && (directory.front() != '/' || directory.size() > kMaximumLogDirectoryBytes)) {
            errors_.add("/logDirectory", json(directory), "an absolute path");
        }
    }

    const DaemonSettings &settings_;
    ErrorList &errors_;
    std::array<NamedAddress, 3> listeners_;
};

} // namespace

DaemonSettingsCheck::DaemonSettingsCheck(std::string file)
    : file_(std::move(file))
{
}

std::vector<ConfigError> DaemonSettingsCheck::check(const DaemonSettings &settings) const
{
    ErrorList errors(file_);
    Check(settings, errors).run();
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
                   server->domain.value() + ", where the inventory has server " + server->name.value());
    }
    return errors.extractErrors();
}

} // namespace Hibiscus
