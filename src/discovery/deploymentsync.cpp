#include "discovery/deploymentsync.h"

#include "core/chronotime.h"
#include "core/logevent.h"

#include <utility>

namespace Hibiscus
{

namespace
{

constexpr Millis kExchangeTick{500};
/** Changes that follow one another are taken together. */
constexpr Millis kDirectoryGather{100};
constexpr Millis kConfigurationGather{20};
/** A configuration is to be in force within 2 s, also after the store was silent for a while. */
constexpr Millis kConfigurationCall{2000};
constexpr Millis kDirectoryCall{2500};

std::string kindOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

ServerName serverOf(const std::string &key)
{
    return ServerName(key.substr(key.find('/') + 1));
}

} // namespace

DeploymentSync::DeploymentSync(asio::any_io_executor executor, ObjectStore &store, HttpClient &client,
                               const Clock &clock, RandomSource &random, DeploymentSyncSettings settings,
                               Callbacks callbacks)
    : executor_(std::move(executor))
    , store_(store)
    , settings_(std::move(settings))
    , callbacks_(std::move(callbacks))
    , writer_(executor_, store)
    , exchange_(executor_, client, clock, random, settings_.self,
                {[this](const DirectoryMessage *other) { return describe(other); },
                 [this](const DirectoryMessage &message) { merge(message); }, [this] { return knownDaemons(); }})
    , configurationWatcher_(
          executor_, store, {kindOf(settings_.configurationKey), kConfigurationCall, kConfigurationGather},
          {[this](const ObjectListing &listing) { listedConfiguration(listing); },
           [this](const ChangeBatch &batch) { changedConfiguration(batch); },
           [this](bool available) { noteStore("watch of the configuration", configurationCurrent_, available); }})
    , directoryWatcher_(
          executor_, store, {kRegistrationKind, kDirectoryCall, kDirectoryGather, ReadMode::MayBeStale},
          {[this](const ObjectListing &listing) { listedServers(listing); },
           [this](const ChangeBatch &batch) { changedServers(batch); },
           [this](bool available) { noteStore("watch of the backend servers", directoryCurrent_, available); }})
    , exchangeTimer_(executor_)
{
    for (const HostAddress &seed : settings_.seeds) {
        exchange_.addContact(seed);
    }
}

void DeploymentSync::start()
{
    writer_.start();
    configurationWatcher_.start();
    directoryWatcher_.start();
    scheduleExchange();
}

void DeploymentSync::stop()
{
    stopped_ = true;
    exchangeTimer_.cancel();
    store_.interrupt();
    configurationWatcher_.stop();
    directoryWatcher_.stop();
    writer_.stop();
}

void DeploymentSync::scheduleExchange()
{
    exchangeTimer_.expires_after(toChrono(kExchangeTick));
    exchangeTimer_.async_wait([this](const asio::error_code &error) {
        if (error || stopped_) {
            return;
        }
        if (std::exchange(hasCrashNews_, false)) {
            exchange_.passOn();
        }
        if (!isStoreAvailable() || !hasDirectory_ || configuration_.empty()) {
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
    if (directory_.applyDirect(*own)) {
        callbacks_.directoryChanged();
    }
    writer_.put(*own, std::move(done));
    if (!isStoreAvailable()) {
        exchange_.announce();
    }
}

void DeploymentSync::withdraw(const ServerName &name, RegistrationWriter::Done done)
{
    writer_.remove(name, std::move(done));
}

void DeploymentSync::withdrawAllExcept(const ServerName &present)
{
    for (const ServerName &name : ownEntries_) {
        if (name != present) {
            writer_.remove(name);
        }
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
    return configurationCurrent_ && directoryCurrent_;
}

void DeploymentSync::listedConfiguration(const ObjectListing &listing)
{
    for (const KeyedObject &entry : listing.objects) {
        if (entry.key == settings_.configurationKey) {
            adopt(entry.object.value, entry.object.version);
        }
    }
}

void DeploymentSync::changedConfiguration(const ChangeBatch &batch)
{
    for (const ObjectChange &change : batch.changes) {
        if (change.key == settings_.configurationKey && !change.removed) {
            adopt(change.object.value, change.object.version);
        }
    }
}

void DeploymentSync::adopt(const std::string &value, std::uint64_t version)
{
    if (version <= configurationVersion_ || !callbacks_.adopt(value, version)) {
        return;
    }
    configuration_ = value;
    configurationVersion_ = version;
}

std::optional<ServerRegistration> DeploymentSync::read(const std::string &key, const std::string &value) const
{
    std::optional<ServerRegistration> registration = parseRegistration(serverOf(key), value);
    if (!registration) {
        logEvent(LogEvent::RegistrationRejected, key + " can't be read");
    }
    return registration;
}

void DeploymentSync::listedServers(const ObjectListing &listing)
{
    std::vector<DirectoryEntry> entries;
    ownEntries_.clear();
    for (const KeyedObject &entry : listing.objects) {
        if (const auto registration = read(entry.key, entry.object.value)) {
            entries.push_back({*registration, entry.object.version});
            noteOwnEntry(*registration);
        }
    }
    directory_.replace(entries, listing.revision);
    hasDirectory_ = true;
    callbacks_.directoryChanged();
}

void DeploymentSync::changedServers(const ChangeBatch &batch)
{
    for (const ObjectChange &change : batch.changes) {
        if (change.removed) {
            directory_.remove(serverOf(change.key), change.revision);
            ownEntries_.erase(serverOf(change.key));
        } else if (const auto registration = read(change.key, change.object.value)) {
            directory_.apply(*registration, change.revision);
            noteOwnEntry(*registration);
        }
    }
    callbacks_.directoryChanged();
}

void DeploymentSync::noteOwnEntry(const ServerRegistration &registration)
{
    if (registration.daemon != settings_.self) {
        return;
    }
    ownEntries_.insert(registration.name);
    callbacks_.ownEntryFound(registration);
    // A restarted daemon may hear of its server before it sees what its predecessor left in the store.
    const std::optional<ServerRegistration> present = callbacks_.ownRegistration();
    if (present && present->name != registration.name && registration.startedAt <= present->startedAt) {
        writer_.remove(registration.name);
    }
}

void DeploymentSync::noteStore(const char *watch, bool &state, bool available)
{
    state = available;
    logEvent(available ? LogEvent::PlatformAvailable : LogEvent::PlatformUnavailable, watch);
}

std::vector<HostAddress> DeploymentSync::knownDaemons() const
{
    std::set<HostAddress> daemons;
    for (const auto &[name, entry] : directory_.entries()) {
        if (entry.registration.daemon != settings_.self) {
            daemons.insert(entry.registration.daemon);
        }
    }
    return {daemons.begin(), daemons.end()};
}

DirectoryMessage DeploymentSync::describe(const DirectoryMessage *other)
{
    DirectoryMessage message;
    message.sender = settings_.self;
    message.configurationVersion = ConfigVersion(configurationVersion_);
    message.digest = directoryDigest(directory_);
    message.crashes = callbacks_.crashReports();
    if (other == nullptr) {
        if (const auto own = callbacks_.ownRegistration()) {
            message.servers.push_back({*own, 0});
        }
        return message;
    }
    if (other->configurationVersion < message.configurationVersion) {
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
        adopt(message.configuration, message.configurationVersion.value());
    }
    const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
    bool changed = false;
    for (const DirectoryEntry &entry : message.servers) {
        if (own && entry.registration.name == own->name) {
            // Nobody knows more of the server beside this daemon than this daemon does.
            continue;
        }
        const DirectoryEntry *known = directory_.find(entry.registration.name);
        const bool isLater = entry.revision > 0 && (known == nullptr || known->revision < entry.revision);
        const bool applied =
            isLater ? directory_.apply(entry.registration, entry.revision) : directory_.applyDirect(entry.registration);
        changed = changed || applied;
        noteOwnEntry(entry.registration);
    }
    hasDirectory_ = hasDirectory_ || !directory_.entries().empty();
    if (changed) {
        callbacks_.directoryChanged();
    }
    hasCrashNews_ = callbacks_.learnCrashes(message.crashes) || hasCrashNews_;
}

} // namespace Hibiscus
