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

} // namespace

DeploymentSync::DeploymentSync(asio::any_io_executor executor, ObjectStore &store, HttpClient &client,
                               const Clock &clock, RandomSource &random, DeploymentSyncSettings settings,
                               Callbacks callbacks)
    : executor_(std::move(executor))
    , store_(store)
    , clock_(clock)
    , settings_(std::move(settings))
    , callbacks_(std::move(callbacks))
    , leaves_(clock)
    , writer_(executor_, store)
    , configuration_(settings_.configurationKey, callbacks_.adoptConfiguration)
    , own_(settings_.self, clock, writer_,
           {callbacks_.ownRegistration, callbacks_.ownEntryFound, [this] { publish(); }})
    , exchange_(executor_, client, clock, random, settings_.self,
                {[this](const DirectoryMessage *other) { return createMessage(other); },
                 [this](const DirectoryMessage &message) { merge(message); }, [this] { return knownDaemons(); }})
    , configurationWatcher_(
          executor_, store,
          {kindOf(settings_.configurationKey), kConfigurationWatchTimeout, kConfigurationBatchInterval},
          {[this](const ObjectListing &listing) { configuration_.receive(listing); },
           [this](const ChangeBatch &batch) { configuration_.receive(batch); },
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
           [this](const ObjectListing &listing) { configuration_.receive(listing); },
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
        leaves_.tick();
        own_.removeExpired(directory_);
        if (!isStoreAvailable() || !hasDirectory_ || configuration_.text().empty() || clock_.now() < exchangeUntil_) {
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
    if (!knowsLeaves()) {
        // The store may know that this process of the server has left, and would be overwritten.
        needsPublishing_ = true;
        awaitingLeaves_.push_back(std::move(done));
        return;
    }
    if (directory_.applyDirect(*own)) {
        callbacks_.directoryChanged();
    }
    own_.put(*own, std::move(done));
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
    own_.retire(left, std::move(done));
    if (directory_.applyDirect(left)) {
        callbacks_.directoryChanged();
    }
    if (!isStoreAvailable()) {
        exchange_.announce();
    }
}

void DeploymentSync::withdraw(const ServerName &name, RegistrationWriter::Done done)
{
    own_.withdraw(name, std::move(done));
}

void DeploymentSync::withdrawAllExcept(const ServerName &current)
{
    own_.withdrawAllExcept(current);
}

void DeploymentSync::withdrawAllOwn()
{
    own_.withdrawAll();
}

void DeploymentSync::recordCheckIn()
{
    leaves_.checkInReceived();
    publishWaiting();
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

bool DeploymentSync::knowsLeaves() const
{
    return hasDirectory_ && (!settings_.hasCheckIns || leaves_.areKnown());
}

bool DeploymentSync::isStoreAvailable() const
{
    return isConfigurationWatchAvailable_ && isDirectoryWatchAvailable_;
}

std::optional<ServerRegistration> DeploymentSync::readRegistration(const std::string &key,
                                                                   const std::string &value) const
{
    const std::optional<ServerName> name = serverOfKey(key);
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
    own_.beginListing();
    for (const KeyedObject &entry : listing.objects) {
        if (const auto registration = readRegistration(entry.key, entry.object.value)) {
            entries.push_back({*registration, {listing.era, entry.object.version}});
            own_.handleEntry(*registration);
        }
    }
    directory_.replace(entries, {listing.era, listing.revision});
    // The first listing is up to date. Later ones may lag, but the directory keeps what has left.
    leaves_.listingReceived();
    hasDirectory_ = true;
    publishWaiting();
    if (cameBack) {
        own_.writeAgain(listing);
        exchangeUntil_ = clock_.now() + kSettlingTime;
        exchange_.tick();
        removeUnconfirmedLater();
    }
    callbacks_.directoryChanged();
}

void DeploymentSync::handleServerChanges(const ChangeBatch &batch)
{
    for (const ObjectChange &change : batch.changes) {
        if (const auto name = change.removed ? serverOfKey(change.key) : std::nullopt) {
            directory_.remove(*name, {batch.era, change.revision});
            own_.entryRemoved(*name);
        } else if (const auto registration = readRegistration(change.key, change.object.value)) {
            directory_.apply(*registration, {batch.era, change.revision});
            own_.handleEntry(*registration);
            own_.restore(*registration);
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

void DeploymentSync::removeUnconfirmedLater()
{
    unconfirmedTimer_.expires_after(toChrono(kRewriteTime));
    unconfirmedTimer_.async_wait([this](const asio::error_code &error) {
        if (!error && !stopped_ && directory_.removeUnconfirmed(era_)) {
            callbacks_.directoryChanged();
        }
    });
}

void DeploymentSync::publishWaiting()
{
    if (!knowsLeaves() || !std::exchange(needsPublishing_, false)) {
        return;
    }
    publish([waiting = std::exchange(awaitingLeaves_, {})] {
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
    message.configurationRevision = configuration_.revision();
    message.configurationDigest = configurationDigest(configuration_.text());
    message.digest = directoryDigest(directory_);
    message.crashes = callbacks_.crashReports();
    if (other == nullptr) {
        const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
        if (own && knowsLeaves()) {
            message.servers.push_back({*own, {}});
        }
        for (const auto &[name, left] : own_.former()) {
            message.servers.push_back({left, {}});
        }
        return message;
    }
    if (other->configurationDigest != message.configurationDigest) {
        message.configuration = configuration_.text();
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
        configuration_.offer(message.configuration, message.configurationRevision);
    }
    const std::optional<ServerRegistration> own = callbacks_.ownRegistration();
    bool changed = false;
    for (const DirectoryEntry &entry : message.servers) {
        if (own && entry.registration.name == own->name) {
            // This daemon's own registration of its local server is authoritative, except that a drain is never undone.
            if (own_.handleEntry(entry.registration)) {
                writer_.put(entry.registration);
            }
            continue;
        }
        const DirectoryEntry *known = directory_.find(entry.registration.name);
        const bool isLater = entry.revision.number > 0 && (known == nullptr || known->revision < entry.revision);
        const bool applied =
            isLater ? directory_.apply(entry.registration, entry.revision) : directory_.applyDirect(entry.registration);
        changed = changed || applied;
        if (own_.handleEntry(entry.registration)) {
            // The store may have lost it.
            writer_.put(entry.registration);
        }
    }
    if (!directory_.entries().empty()) {
        hasDirectory_ = true;
        publishWaiting();
    }
    if (changed) {
        callbacks_.directoryChanged();
    }
    hasNewCrashReports_ = callbacks_.mergeCrashReports(message.crashes) || hasNewCrashReports_;
}

} // namespace Hibiscus
