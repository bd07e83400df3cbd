#ifndef HIBISCUS_DISCOVERY_DEPLOYMENTSYNC_H
#define HIBISCUS_DISCOVERY_DEPLOYMENTSYNC_H

#include "discovery/directoryexchange.h"
#include "discovery/registrationwriter.h"
#include "discovery/storewatcher.h"

#include <string>
#include <vector>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

namespace Hibiscus
{

struct DeploymentSyncSettings {
    HostAddress self; ///< Peers listener of this daemon.
    std::string configurationKey; ///< Object that holds the configuration, as "<kind>/<name>".
    std::vector<HostAddress> seeds; ///< Daemons to ask while no other is known.
};

/**
 * Keeps this daemon's view of the deployment, its configuration and its backend servers, in step with the store, and
 * with other daemons while the store does not answer. All functions and callbacks run on the executor.
 */
class DeploymentSync
{
public:
    struct Callbacks {
        /** Takes over a configuration as the store holds it; false if it can't be used or is not newer. */
        std::function<bool(const std::string &value, std::uint64_t version)> adopt;
        std::function<void()> directoryChanged;
        /** The store has a registration that a process with this daemon's address made. */
        std::function<void(const ServerRegistration &)> ownEntryFound;
        /** Registration of the server beside this daemon; empty if there is none. */
        std::function<std::optional<ServerRegistration>()> ownRegistration;
        std::function<std::vector<CrashReport>()> crashReports;
        /** True if a crash was among them that this process had not heard of. */
        std::function<bool(const std::vector<CrashReport> &)> learnCrashes;
    };

    /** @p store, @p client, @p clock and @p random must outlive the object. */
    DeploymentSync(asio::any_io_executor executor, ObjectStore &store, HttpClient &client, const Clock &clock,
                   RandomSource &random, DeploymentSyncSettings settings, Callbacks callbacks);

    void start();
    /** Returns when no call to the store is left. Not to be called on the executor's only thread while it runs. */
    void stop();

    /** Brings the registration of the local server to the store and, if the store is out of reach, to other daemons. */
    void publish(RegistrationWriter::Done done = nullptr);
    /** Takes a server that was beside this daemon out of the store. */
    void withdraw(const ServerName &name, RegistrationWriter::Done done = nullptr);
    /** Takes all servers that were beside this daemon, but @p present, out of the store. */
    void withdrawAllExcept(const ServerName &present);
    /** Tells other daemons at once, for instance of a crash. */
    void announce();

    /** Answers a request of another daemon. */
    std::string handleRequest(const std::string &body);
    void recordContact(const HostAddress &daemon);

    const ServerDirectory &directory() const;
    /** The servers are known, from the store or from another daemon. */
    bool hasDirectory() const;
    bool isStoreAvailable() const;

private:
    void listedConfiguration(const ObjectListing &listing);
    void changedConfiguration(const ChangeBatch &batch);
    void adopt(const std::string &value, std::uint64_t version);
    void listedServers(const ObjectListing &listing);
    void changedServers(const ChangeBatch &batch);
    std::optional<ServerRegistration> read(const std::string &key, const std::string &value) const;
    void noteOwnEntry(const ServerRegistration &registration);
    void noteStore(const char *watch, bool &state, bool available);
    DirectoryMessage describe(const DirectoryMessage *other);
    void merge(const DirectoryMessage &message);
    std::vector<HostAddress> knownDaemons() const;
    void scheduleExchange();

    asio::any_io_executor executor_;
    ObjectStore &store_;
    DeploymentSyncSettings settings_;
    Callbacks callbacks_;
    ServerDirectory directory_;
    std::set<ServerName> ownEntries_; ///< Entries of the store whose daemon has this one's address.
    std::string configuration_; ///< In force, as the store holds it.
    std::uint64_t configurationVersion_ = 0;
    bool hasCrashNews_ = false; ///< A crash was heard of that is to be passed on.
    bool configurationCurrent_ = true; ///< The store answers the watch.
    bool directoryCurrent_ = true;
    bool hasDirectory_ = false;
    bool stopped_ = false;
    RegistrationWriter writer_;
    DirectoryExchange exchange_;
    StoreWatcher configurationWatcher_;
    StoreWatcher directoryWatcher_;
    asio::steady_timer exchangeTimer_;
};

} // namespace Hibiscus

#endif
