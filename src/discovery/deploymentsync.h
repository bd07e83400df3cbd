#ifndef HIBISCUS_DISCOVERY_DEPLOYMENTSYNC_H
#define HIBISCUS_DISCOVERY_DEPLOYMENTSYNC_H

#include "directory/acknowledgedleaves.h"
#include "discovery/configurationfollower.h"
#include "discovery/directoryexchange.h"
#include "discovery/ownregistrations.h"
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
    bool hasCheckIns = false; ///< The local server is known by its check-ins, which may arrive late.
};

/**
 * Synchronizes this daemon's configuration and server directory with the store, and with other daemons while the store
 * does not respond, after this daemon's start and after the store came back from an older copy. All functions and
 * callbacks run on the executor.
 */
class DeploymentSync
{
public:
    struct Callbacks {
        ConfigurationFollower::Adopt adoptConfiguration;
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
    /**
     * Writes to the store that a process of the local server has left; @p left is its registration of that state. The
     * entry stays until nothing of that process can arrive any more, so that a daemon that restarts learns of it.
     */
    void retire(const ServerRegistration &left, RegistrationWriter::Done done = nullptr);
    /** Removes the registration of a former local server from the store. */
    void withdraw(const ServerName &name, RegistrationWriter::Done done = nullptr);
    /** Removes the registrations of all former local servers from the store, except that of @p current. */
    void withdrawAllExcept(const ServerName &current);
    /** Removes the registrations of all servers of this daemon from the store. */
    void withdrawAllOwn();
    /** A check-in of the present local server arrives. */
    void recordCheckIn();
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
    /** Whether it is known which servers beside this daemon drain or have left. Before that the local server, which may
     * be one of them, is neither published nor may it get work. */
    bool knowsLeaves() const;
    bool isStoreAvailable() const;

private:
    void handleServerListing(const ObjectListing &listing);
    void handleServerChanges(const ChangeBatch &batch);
    std::optional<ServerRegistration> readRegistration(const std::string &key, const std::string &value) const;
    /** Records the era of a response; true if the store came back from an older copy since the last one. */
    bool noticeEra(std::uint64_t era);
    void removeUnconfirmedLater();
    void setStoreAvailable(const char *watch, bool &state, bool available);
    DirectoryMessage createMessage(const DirectoryMessage *other);
    void merge(const DirectoryMessage &message);
    std::vector<HostAddress> knownDaemons() const;
    void scheduleExchange();
    /** Publishes the local server if that waited until it is known which servers have left. */
    void publishWaiting();

    asio::any_io_executor executor_;
    ObjectStore &store_;
    const Clock &clock_;
    DeploymentSyncSettings settings_;
    Callbacks callbacks_;
    ServerDirectory directory_;
    AcknowledgedLeaves leaves_;
    bool needsPublishing_ = false; ///< The local server checked in before it was known which servers have left.
    std::vector<RegistrationWriter::Done> awaitingLeaves_; ///< Told when that is published.
    std::uint64_t era_ = 0; ///< Latest era of the store that a response named; 0 if it names none.
    TimePoint exchangeUntil_; ///< Until then exchanges go on although the store responds.
    bool hasNewCrashReports_ = false; ///< They are propagated when exchangeTimer_ expires next.
    bool isConfigurationWatchAvailable_ = true; ///< The store responds to the watch.
    bool isDirectoryWatchAvailable_ = true;
    bool hasDirectory_ = false;
    bool stopped_ = false;
    RegistrationWriter writer_;
    ConfigurationFollower configuration_;
    OwnRegistrations own_;
    DirectoryExchange exchange_;
    StoreWatcher configurationWatcher_;
    StoreWatcher directoryWatcher_;
    asio::steady_timer exchangeTimer_;
    asio::steady_timer unconfirmedTimer_;
};

} // namespace Hibiscus

#endif
