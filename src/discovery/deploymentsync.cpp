#include "discovery/deploymentsync.h"

#include "core/chronotime.h"
#include "core/logevent.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

namespace
{

constexpr Millis kExchangeInterval{500};
/** Changes that follow one another within this time are delivered in one batch. */
constexpr Millis kDirectoryBatchInterval{100};
constexpr Millis kConfigurationBatchInterval{20};
/** Each call is charged, and changes of the configuration are rare. A call that is lost without a trace is made up for
 * by the recheck of the directory watch. */
constexpr Millis kConfigurationWatchTimeout{25000};
/** Time for which daemons exchange after their start, and after the store came back from an older copy: the store may
 * then know less than the others. */
constexpr Millis kSettlingTime{3000};
/** Time within which daemons write again what a store that came back older has lost; longer than two directory watches.
 */
constexpr Millis kRewriteTime{6000};
/** Bounds the time until an outage of the store, or a configuration missed by its own watch, is noticed. */
constexpr Millis kDirectoryWatchTimeout{2000};

std::string kindOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

/** The server whose registration has this key; empty if the key holds no name. */
std::optional<ServerName> serverOf(const std::string &key)
{
    return ServerName::parse(std::string_view(key).substr(key.find('/') + 1));
}

} // namespace

DeploymentSync::DeploymentSync(asio::any_io_executor executor, ObjectStore &store, HttpClient &client,
                               const Clock &clock, RandomSource &random, DeploymentSyncSettings settings,
                               Callbacks callbacks)
    : executor_(std::move(executor))
    , store_(store)
    , clock_(clock)
    , settings_(std::move(settings))
    , callbacks_(std::move(callbacks))
    , former_(settings_.self, clock)
    , writer_(executor_, store)
    , exchange_(executor_, client, clock, random, settings_.self,
                {[this](const DirectoryMessage *other) { return createMessage(other); },
                 [this](const DirectoryMessage &message) { merge(message); }, [this] { return knownDaemons(); }})
    , configurationWatcher_(
          executor_, store,
          {kindOf(settings_.configurationKey), kConfigurationWatchTimeout, kConfigurationBatchInterval},
          {[this](const ObjectListing &listing) { handleConfigurationListing(listing); },
           [this](const ChangeBatch &batch) { handleConfigurationChanges(batch); },
           [this](bool available) {
               setStoreAvailable("configuration watch", isConfigurationWatchAvailable_, available);
           }})
    , directoryWatcher_(
          executor_, store,
          {kRegistrationKind, kDirectoryWatchTimeout, kDirectoryBatchInterval, ReadMode::MayBeStale,
           kindOf(settings_.configurationKey)},
          {[this](const ObjectListing &listing) { handleServerListing(listing); },
           [this](const ChangeBatch &batch) { handleServerChanges(batch); },
           [this](bool available) { setStoreAvailable("backend server watch", isDirectoryWatchAvailable_, available); },
           [this](const ObjectListing &listing) { handleConfigurationListing(listing); },
           [this] { return configurationWatcher_.position(); }})
    , exchangeTimer_(executor_)
    , unconfirmedTimer_(executor_)
{
    for (const HostAddress &seed : settings_.seeds) {
        exchange_.addContact(seed);
    }
}

void DeploymentSync::start()
{
    exchangeUntil_ = clock_.now() + kSettlingTime;
    writer_.start();
    configurationWatcher_.start();
    directoryWatcher_.start();
    scheduleExchange();
}

void DeploymentSync::stop()
{
    stopped_ = true;
    exchangeTimer_.cancel();
    unconfirmedTimer_.cancel();
    store_.interrupt();
    configurationWatcher_.stop();
    directoryWatcher_.stop();
    writer_.stop();
}

void DeploymentSync::scheduleExchange()
{
    exchangeTimer_.expires_after(toChrono(kExchangeInterval));
    exchangeTimer_.async_wait([this](const asio::error_code &error) {
        if (error || stopped_) {
            return;
        }
        if (std::exchange(hasNewCrashReports_, false)) {
            exchange_.propagate();
        }
        for (const ServerRegistration &left : former_.takeExpired(directory_)) {
            writer_.removeFormer(left.name, left.startedAt);
        }
        if (!isStoreAvailable() || !hasDirectory_ || configuration_.empty() || clock_.now() < exchangeUntil_) {
            exchange_.tick();
        }
        scheduleExchange();
    });
}

void DeploymentSync::publish(RegistrationWriter::Done done)
{
    const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
    if (!own) {
        return;
    }
    if (!hasDirectory_) {
        // The store may know that this process of the server has left, and would be overwritten.
        needsPublishing_ = true;
        awaitingDirectory_.push_back(std::move(done));
        return;
    }
    if (directory_.applyDirect(*own)) {
        callbacks_.directoryChanged();
    }
    withdrawn_.erase(own->name);
    former_.forget(own->name);
    writer_.put(*own, std::move(done));
    if (!isStoreAvailable()) {
        exchange_.announce();
    }
}

void DeploymentSync::retire(const ServerRegistration &left, RegistrationWriter::Done done)
{
    const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
    if (own && own->name == left.name) {
        // A later process of the same name runs, whose registration implies that.
        publish(std::move(done));
        return;
    }
    former_.remember(left);
    ownEntries_.erase(left.name);
    if (directory_.applyDirect(left)) {
        callbacks_.directoryChanged();
    }
    writer_.put(left, std::move(done));
    if (!isStoreAvailable()) {
        exchange_.announce();
    }
}

void DeploymentSync::withdraw(const ServerName &name, RegistrationWriter::Done done)
{
    withdrawn_.insert(name);
    writer_.remove(name, std::move(done));
}

void DeploymentSync::withdrawAllExcept(const ServerName &current)
{
    for (const ServerName &name : ownEntries_) {
        if (name != current) {
            withdraw(name);
        }
    }
}

void DeploymentSync::withdrawAllOwn()
{
    for (const ServerName &name : ownEntries_) {
        withdraw(name);
    }
}

void DeploymentSync::markDraining(const ServerName &name, std::int64_t startedAt)
{
    if (directory_.markDraining(name, startedAt)) {
        callbacks_.directoryChanged();
    }
}

void DeploymentSync::announce()
{
    exchange_.announce();
}

std::string DeploymentSync::handleRequest(const std::string &body)
{
    return exchange_.handleRequest(body);
}

void DeploymentSync::recordContact(const HostAddress &daemon)
{
    exchange_.recordContact(daemon);
}

const ServerDirectory &DeploymentSync::directory() const
{
    return directory_;
}

bool DeploymentSync::hasDirectory() const
{
    return hasDirectory_;
}

bool DeploymentSync::isStoreAvailable() const
{
    return isConfigurationWatchAvailable_ && isDirectoryWatchAvailable_;
}

void DeploymentSync::handleConfigurationListing(const ObjectListing &listing)
{
    for (const KeyedObject &entry : listing.objects) {
        if (entry.key == settings_.configurationKey) {
            adoptConfiguration(entry.object.value, {listing.era, entry.object.version});
        }
    }
}

void DeploymentSync::handleConfigurationChanges(const ChangeBatch &batch)
{
    for (const ObjectChange &change : batch.changes) {
        if (change.key == settings_.configurationKey && !change.removed) {
            adoptConfiguration(change.object.value, {batch.era, change.object.version});
        }
    }
}

void DeploymentSync::adoptConfiguration(const std::string &value, StoreRevision revision)
{
    if (value == configuration_) {
        configurationRevision_ = std::max(configurationRevision_, revision);
        return;
    }
    const StoreHistory history = historyOf(revision, configurationRevision_);
    const bool isKnown = history == StoreHistory::Same && revision.number <= configurationRevision_.number;
    if (isKnown || !callbacks_.adoptConfiguration(value, revision.number, history)) {
        logEvent(LogEvent::ConfigurationKept, "",
                 {{"read", revision.number},
                  {"readEra", revision.era},
                  {"inForce", configurationRevision_.number},
                  {"inForceEra", configurationRevision_.era}});
        return;
    }
    configuration_ = value;
    configurationRevision_ = revision;
}

std::optional<ServerRegistration> DeploymentSync::readRegistration(const std::string &key,
                                                                   const std::string &value) const
{
    const std::optional<ServerName> name = serverOf(key);
    std::optional<ServerRegistration> registration = name ? parseRegistration(*name, value) : std::nullopt;
    if (!registration) {
        logEvent(LogEvent::RegistrationRejected, "registration " + key + " can't be parsed");
    }
    return registration;
}

void DeploymentSync::handleServerListing(const ObjectListing &listing)
{
    const bool cameBack = noticeEra(listing.era);
    std::vector<DirectoryEntry> entries;
    ownEntries_.clear();
    for (const KeyedObject &entry : listing.objects) {
        if (const auto registration = readRegistration(entry.key, entry.object.value)) {
            entries.push_back({*registration, {listing.era, entry.object.version}});
            handleOwnEntry(*registration);
        }
    }
    directory_.replace(entries, {listing.era, listing.revision});
    noticeDirectory();
    if (cameBack) {
        writeAgain(listing);
        removeUnconfirmedLater();
    }
    callbacks_.directoryChanged();
}

void DeploymentSync::handleServerChanges(const ChangeBatch &batch)
{
    for (const ObjectChange &change : batch.changes) {
        if (const auto name = change.removed ? serverOf(change.key) : std::nullopt) {
            directory_.remove(*name, {batch.era, change.revision});
            ownEntries_.erase(*name);
        } else if (const auto registration = readRegistration(change.key, change.object.value)) {
            directory_.apply(*registration, {batch.era, change.revision});
            handleOwnEntry(*registration);
            restoreOwnEntry(*registration);
        }
    }
    callbacks_.directoryChanged();
}

bool DeploymentSync::noticeEra(std::uint64_t era)
{
    const std::uint64_t before = std::exchange(era_, std::max(era_, era));
    if (before == 0 || before >= era) {
        return false;
    }
    logEvent(LogEvent::StoreEraChanged, "", {{"before", before}, {"after", era}});
    return true;
}

void DeploymentSync::writeAgain(const ObjectListing &listing)
{
    writer_.forgetVersions();
    const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
    for (const auto &[name, left] : former_.own()) {
        writer_.put(left);
    }
    bool isListed = false;
    for (const KeyedObject &entry : listing.objects) {
        const std::optional<ServerName> name = serverOf(entry.key);
        if (!name) {
            continue;
        }
        if (own && *name == own->name) {
            isListed = parseRegistration(*name, entry.object.value) == own;
        } else if (withdrawn_.contains(*name)) {
            writer_.remove(*name);
        }
    }
    if (own && !isListed) {
        publish();
    }
    exchangeUntil_ = clock_.now() + kSettlingTime;
    exchange_.tick();
}

void DeploymentSync::removeUnconfirmedLater()
{
    unconfirmedTimer_.expires_after(toChrono(kRewriteTime));
    unconfirmedTimer_.async_wait([this](const asio::error_code &error) {
        if (!error && !stopped_ && directory_.removeUnconfirmed(era_)) {
            callbacks_.directoryChanged();
        }
    });
}

bool DeploymentSync::handleOwnEntry(const ServerRegistration &registration)
{
    if (registration.daemon != settings_.self) {
        return false;
    }
    callbacks_.ownEntryFound(registration);
    if (registration.state == ServerState::Left) {
        ownEntries_.erase(registration.name);
        const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
        const bool isPredecessor = own && own->name == registration.name;
        return !isPredecessor && former_.remember(registration);
    }
    ownEntries_.insert(registration.name);
    // The local server may check in with a restarted daemon before the daemon has read the entries that the previous
    // process left in the store.
    const std::optional<ServerRegistration> current = callbacks_.ownRegistration();
    if (current && current->name != registration.name && registration.startedAt <= current->startedAt) {
        withdraw(registration.name);
    }
    return false;
}

void DeploymentSync::restoreOwnEntry(const ServerRegistration &stored)
{
    const std::optional<ServerRegistration> current = callbacks_.ownRegistration();
    const bool isOlderWriteOfThisProcess =
        current && current->name == stored.name && current->incarnation == stored.incarnation && *current != stored;
    if (isOlderWriteOfThisProcess && !writer_.isPending(stored.name)) {
        publish();
    }
    const auto left = former_.own().find(stored.name);
    const bool isOlderThanLeave = left != former_.own().end() && stored.startedAt <= left->second.startedAt
        && stored.state != ServerState::Left && stored.daemon == settings_.self;
    if (isOlderThanLeave && !writer_.isPending(stored.name)) {
        writer_.put(left->second);
    }
}

void DeploymentSync::noticeDirectory()
{
    if (std::exchange(hasDirectory_, true) || !std::exchange(needsPublishing_, false)) {
        return;
    }
    publish([waiting = std::exchange(awaitingDirectory_, {})] {
        for (const RegistrationWriter::Done &done : waiting) {
            if (done) {
                done();
            }
        }
    });
}

void DeploymentSync::setStoreAvailable(const char *watch, bool &state, bool available)
{
    state = available;
    logEvent(available ? LogEvent::PlatformAvailable : LogEvent::PlatformUnavailable, watch);
}

std::vector<HostAddress> DeploymentSync::knownDaemons() const
{
    std::set<HostAddress> daemons;
    for (const auto &[name, entry] : directory_.entries()) {
        if (entry.registration.daemon != settings_.self && entry.registration.state != ServerState::Left) {
            daemons.insert(entry.registration.daemon);
        }
    }
    return {daemons.begin(), daemons.end()};
}

DirectoryMessage DeploymentSync::createMessage(const DirectoryMessage *other)
{
    DirectoryMessage message;
    message.sender = settings_.self;
    message.configurationRevision = configurationRevision_;
    message.configurationDigest = configurationDigest(configuration_);
    message.digest = directoryDigest(directory_);
    message.crashes = callbacks_.crashReports();
    if (other == nullptr) {
        if (const auto own = callbacks_.ownRegistration()) {
            message.servers.push_back({*own, {}});
        }
        for (const auto &[name, left] : former_.own()) {
            message.servers.push_back({left, {}});
        }
        return message;
    }
    if (other->configurationDigest != message.configurationDigest) {
        message.configuration = configuration_;
    }
    if (other->digest != message.digest) {
        for (const auto &[name, entry] : directory_.entries()) {
            message.servers.push_back(entry);
        }
    }
    return message;
}

void DeploymentSync::merge(const DirectoryMessage &message)
{
    if (!message.configuration.empty()) {
        adoptConfiguration(message.configuration, message.configurationRevision);
    }
    const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
    bool changed = false;
    for (const DirectoryEntry &entry : message.servers) {
        if (own && entry.registration.name == own->name) {
            // This daemon's own registration of its local server is authoritative, except that a drain is never undone.
            if (handleOwnEntry(entry.registration)) {
                writer_.put(entry.registration);
            }
            continue;
        }
        const DirectoryEntry *known = directory_.find(entry.registration.name);
        const bool isLater = entry.revision.number > 0 && (known == nullptr || known->revision < entry.revision);
        const bool applied =
            isLater ? directory_.apply(entry.registration, entry.revision) : directory_.applyDirect(entry.registration);
        changed = changed || applied;
        if (handleOwnEntry(entry.registration)) {
            // The store may have lost it.
            writer_.put(entry.registration);
        }
    }
    if (!directory_.entries().empty()) {
        noticeDirectory();
    }
    if (changed) {
        callbacks_.directoryChanged();
    }
    hasNewCrashReports_ = callbacks_.mergeCrashReports(message.crashes) || hasNewCrashReports_;
}

} // namespace Hibiscus
