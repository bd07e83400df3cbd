#include "discovery/storewatcher.h"

#include "core/chronotime.h"
#include "core/messageguard.h"

#include <algorithm>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

constexpr Millis kInitialBackoff{100};
constexpr Millis kMaximumBackoff{800};

} // namespace

StoreWatcher::StoreWatcher(asio::any_io_executor executor, ObjectStore &store, StoreWatcherSettings settings,
                           Callbacks callbacks)
    : executor_(std::move(executor))
    , store_(store)
    , settings_(std::move(settings))
    , callbacks_(std::move(callbacks))
{
}

StoreWatcher::~StoreWatcher()
{
    stop();
}

void StoreWatcher::start()
{
    thread_ = std::thread([this] { run(); });
}

void StoreWatcher::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wakeUp_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void StoreWatcher::run()
{
    Millis backoff = kInitialBackoff;
    while (!isStopping()) {
        bool succeeded = false;
        guardMessage("store watch", [&] { succeeded = hasListing_ ? watch() : list(); });
        if (isStopping()) {
            return;
        }
        needsRecheck_ = needsRecheck_ || !succeeded;
        hadFailure_ = hadFailure_ || !succeeded;
        setAvailable(succeeded);
        if (succeeded) {
            guardMessage("store watch", [this] { recheckIfNeeded(); });
            backoff = kInitialBackoff;
            continue;
        }
        sleepFor(backoff);
        backoff = std::min(backoff * 2, kMaximumBackoff);
    }
}

bool StoreWatcher::list()
{
    StoreResult<ObjectListing> listing = store_.listKind(settings_.kind, listingMode_);
    if (!listing || isOutdated(listing->era)) {
        return false;
    }
    hasListing_ = true;
    listingMode_ = settings_.mode;
    era_ = std::max(era_, listing->era);
    setPosition(listing->revision);
    listing->era = era_;
    asio::post(executor_, [this, listing = std::move(*listing)] { callbacks_.listingReceived(listing); });
    return true;
}

bool StoreWatcher::watch()
{
    // After a failure the store must respond immediately, so that its recovery is noticed before the next long watch.
    const Millis wait = available_ ? settings_.watchTimeout : Millis{0};
    StoreResult<ChangeBatch> batch = store_.watchKind(settings_.kind, revision_, wait, settings_.mode);
    if (!batch) {
        hasListing_ = batch.error() != StoreError::HistoryLost;
        return batch.error() == StoreError::HistoryLost;
    }
    if (isOutdated(batch->era)) {
        return false;
    }
    if (batch->era > era_) {
        // The position of this watch belongs to a history that is gone.
        era_ = batch->era;
        hasListing_ = false;
        needsRecheck_ = true;
        hadFailure_ = true;
        return true;
    }
    batch->era = era_;
    // Each change of the store raises its revision, so a larger step means that objects of other kinds changed.
    needsRecheck_ = needsRecheck_ || batch->revision > revision_ + batch->changes.size();
    setPosition(std::max(revision_, batch->revision));
    if (!batch->changes.empty()) {
        asio::post(executor_, [this, batch = std::move(*batch)] { callbacks_.changesReceived(batch); });
        sleepFor(settings_.batchInterval);
    }
    return true;
}

bool StoreWatcher::isOutdated(std::uint64_t era) const
{
    // A response that names no era counts as one of the present era.
    return era != 0 && era < era_;
}

void StoreWatcher::recheckIfNeeded()
{
    if (!needsRecheck_ || settings_.recheckedKind.empty()) {
        return;
    }
    if (isRecheckCovered()) {
        needsRecheck_ = false;
        return;
    }
    StoreResult<ObjectListing> listing = store_.listKind(settings_.recheckedKind, ReadMode::Latest);
    if (!listing || isOutdated(listing->era)) {
        return;
    }
    needsRecheck_ = false;
    hadFailure_ = false;
    listing->era = std::max(era_, listing->era);
    asio::post(executor_, [this, listing = std::move(*listing)] { callbacks_.recheckReceived(listing); });
}

bool StoreWatcher::isRecheckCovered() const
{
    return !hadFailure_ && callbacks_.recheckedUpTo && callbacks_.recheckedUpTo() >= StoreRevision{era_, revision_};
}

void StoreWatcher::setPosition(std::uint64_t revision)
{
    revision_ = revision;
    const std::lock_guard lock(mutex_);
    position_ = {era_, revision_};
}

StoreRevision StoreWatcher::position() const
{
    const std::lock_guard lock(mutex_);
    return position_;
}

void StoreWatcher::setAvailable(bool available)
{
    if (available_ == available) {
        return;
    }
    available_ = available;
    asio::post(executor_, [this, available] { callbacks_.availabilityChanged(available); });
}

bool StoreWatcher::sleepFor(Millis duration)
{
    std::unique_lock lock(mutex_);
    return !wakeUp_.wait_for(lock, toChrono(duration), [this] { return stopping_; });
}

bool StoreWatcher::isStopping()
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

} // namespace Hibiscus
