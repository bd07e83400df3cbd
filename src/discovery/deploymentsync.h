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
    std::vector<HostAddress> seeds; ///< Daemons to contact as long as the directory lists no other daemon.
};

/**
 * Synchronizes this daemon's configuration and server directory with the store, and with other daemons while the store
 * does not respond. All functions and callbacks run on the executor.
 */
class DeploymentSync
{
public:
    struct Callbacks {
        /** Applies a configuration in its stored form; false if it is invalid or not newer. */
        std::function<bool(const std::string &value, std::uint64_t version)> adoptConfiguration;
        std::function<void()> directoryChanged;
        /** Called for each registration from the store or another daemon that contains this daemon's address. */
        std::function<void(const ServerRegistration &)> ownEntryFound;
        /** Registration of the local server; empty if there is none. */
        std::function<std::optional<ServerRegistration>()> ownRegistration;
        std::function<std::vector<CrashReport>()> crashReports;
        /** Merges the crash reports of another daemon; true if one of them was new to this process. */
        std::function<bool(const std::vector<CrashReport> &)> mergeCrashReports;
    };

    /** @p store, @p client, @p clock and @p random must outlive the object. */
    DeploymentSync(asio::any_io_executor executor, ObjectStore &store, HttpClient &client, const Clock &clock,
                   RandomSource &random, DeploymentSyncSettings settings, Callbacks callbacks);

    void start();
    /**
     * Interrupts the store and joins the threads that call it. Must not be called on the executor's only thread while
     * it runs.
     */
    void stop();

    /** Writes the registration of the local server to the store and, during an outage, sends it to other daemons. */
    void publish(RegistrationWriter::Done done = nullptr);
    /** Removes the registration of a former local server from the store. */
    void withdraw(const ServerName &name, RegistrationWriter::Done done = nullptr);
    /** Removes the registrations of all former local servers from the store, except that of @p current. */
    void withdrawAllExcept(const ServerName &current);
    /** Removes the registrations of all servers of this daemon from the store. */
    void withdrawAllOwn();
    /** Records that a server process drains, as it said in a response. */
    void markDraining(const ServerName &name, std::int64_t startedAt);
    /** Exchanges with other daemons immediately, for instance after a crash. */
    void announce();

    /** Handles the body of an exchange request of another daemon and returns the body of the response. */
    std::string handleRequest(const std::string &body);
    void recordContact(const HostAddress &daemon);

    const ServerDirectory &directory() const;
    /** Whether the servers are known, from the store or from another daemon. */
    bool hasDirectory() const;
    bool isStoreAvailable() const;

private:
    void handleConfigurationListing(const ObjectListing &listing);
    void handleConfigurationChanges(const ChangeBatch &batch);
    void adoptConfiguration(const std::string &value, std::uint64_t version);
    void handleServerListing(const ObjectListing &listing);
    void handleServerChanges(const ChangeBatch &batch);
    std::optional<ServerRegistration> readRegistration(const std::string &key, const std::string &value) const;
    void noticeEra(std::uint64_t era);
    void handleOwnEntry(const ServerRegistration &registration);
    void setStoreAvailable(const char *watch, bool &state, bool available);
    DirectoryMessage createMessage(const DirectoryMessage *other);
    void merge(const DirectoryMessage &message);
    std::vector<HostAddress> knownDaemons() const;
    void scheduleExchange();

    asio::any_io_executor executor_;
    ObjectStore &store_;
    DeploymentSyncSettings settings_;
    Callbacks callbacks_;
    ServerDirectory directory_;
    std::set<ServerName> ownEntries_; ///< Servers whose registrations contain this daemon's address.
    std::string configuration_; ///< Configuration in force, in its stored form.
    std::uint64_t configurationVersion_ = 0;
    std::uint64_t era_ = 0; ///< Of the store; 0 if it names none.
    bool hasNewCrashReports_ = false; ///< They are propagated when exchangeTimer_ expires next.
    bool isConfigurationWatchAvailable_ = true; ///< The store responds to the watch.
    bool isDirectoryWatchAvailable_ = true;
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
