#include "discovery/registrationwriter.h"

#include "core/chronotime.h"
#include "core/logevent.h"
#include "core/messageguard.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

constexpr Millis kInitialBackoff{100};
constexpr Millis kMaximumBackoff{800};

} // namespace

std::string registrationKey(const ServerName &name)
{
    return std::string(kRegistrationKind) + "/" + name.value();
}

std::optional<ServerName> serverOfKey(const std::string &key)
{
    return ServerName::parse(std::string_view(key).substr(key.find('/') + 1));
}

RegistrationWriter::RegistrationWriter(asio::any_io_executor executor, ObjectStore &store)
    : executor_(std::move(executor))
    , store_(store)
{
}

RegistrationWriter::~RegistrationWriter()
{
    stop();
}

void RegistrationWriter::start()
{
    thread_ = std::thread([this] { run(); });
}

void RegistrationWriter::stop()
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

void RegistrationWriter::put(const ServerRegistration &registration, Done done)
{
    enqueue(registration.name, {serializeRegistration(registration), {}, 0, {std::move(done)}});
}

void RegistrationWriter::remove(const ServerName &name, Done done)
{
    enqueue(name, {{}, {}, 0, {std::move(done)}});
}

void RegistrationWriter::removeFormer(const ServerName &name, std::int64_t startedAt)
{
    enqueue(name, {{}, startedAt, 0, {}});
}

bool RegistrationWriter::isPending(const ServerName &name) const
{
    const std::lock_guard lock(mutex_);
    return tasks_.contains(name);
}

void RegistrationWriter::forgetVersions()
{
    const std::lock_guard lock(mutex_);
    versionsAreOutdated_ = true;
}

/** Replaces the task for this registration; those who wait for the one before are told of the end of @p task. */
void RegistrationWriter::enqueue(const ServerName &name, Task task)
{
    {
        const std::lock_guard lock(mutex_);
        Task &known = tasks_[name];
        std::move(known.done.begin(), known.done.end(), std::back_inserter(task.done));
        std::erase_if(task.done, [](const Done &done) { return !done; });
        task.generation = ++generation_;
        known = std::move(task);
    }
    wakeUp_.notify_all();
}

void RegistrationWriter::run()
{
    Millis backoff = kInitialBackoff;
    std::unique_lock lock(mutex_);
    while (true) {
        wakeUp_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
        if (stopping_) {
            return;
        }
        const auto next = std::min_element(tasks_.begin(), tasks_.end(), [](const auto &a, const auto &b) {
            return a.second.generation < b.second.generation;
        });
        const ServerName name = next->first;
        const std::optional<std::string> value = next->second.value;
        const std::optional<std::int64_t> formerStart = next->second.formerStart;
        const std::uint64_t generation = next->second.generation;
        if (std::exchange(versionsAreOutdated_, false)) {
            versions_.clear();
        }
        lock.unlock();
        // A registration that can't be written would fail again, so it is given up.
        bool done = true;
        guardMessage("registration write", [&] {
            if (formerStart) {
                executeRemoval(name, *formerStart);
                return;
            }
            done = execute(name, value);
        });
        if (done) {
            finish(name, generation);
        }
        lock.lock();
        backoff = done ? kInitialBackoff : std::min(backoff * 2, kMaximumBackoff);
        if (!done) {
            wakeUp_.wait_for(lock, toChrono(backoff), [this] { return stopping_; });
        }
    }
}

bool RegistrationWriter::execute(const ServerName &name, const std::optional<std::string> &value)
{
    const std::string key = registrationKey(name);
    const auto known = versions_.find(name);
    if (known != versions_.end() || value) {
        if (write(key, value, known == versions_.end() ? 0 : known->second)) {
            return true;
        }
    }
    // The version in the store is unknown: it was never read, or the write conflicted, failed or has no response.
    const StoreResult<StoredObject> stored = store_.get(key);
    if (!stored) {
        if (stored.error() != StoreError::NotFound) {
            return false;
        }
        versions_.erase(name);
        return !value;
    }
    versions_[name] = stored->version;
    if (value && stored->value == *value) {
        return true;
    }
    return write(key, value, stored->version);
}

/** A removal that fails isn't repeated here: the object has changed, or the store will still list it later. */
void RegistrationWriter::executeRemoval(const ServerName &name, std::int64_t formerStart)
{
    versions_.erase(name);
    const std::string key = registrationKey(name);
    const StoreResult<StoredObject> stored = store_.get(key);
    const auto registration = stored ? parseRegistration(name, stored->value) : std::nullopt;
    if (registration && registration->startedAt > formerStart) {
        return;
    }
    const StoreResult<void> removed = stored ? store_.remove(key, stored->version) : tl::unexpected(stored.error());
    if (!removed && removed.error() != StoreError::NotFound) {
        logEvent(LogEvent::RegistrationKept, storeErrorName(removed.error()), {{"server", name.value()}});
    }
}

bool RegistrationWriter::write(const std::string &key, const std::optional<std::string> &value, std::uint64_t version)
{
    const ServerName name(key.substr(key.find('/') + 1));
    if (!value) {
        const StoreResult<void> removed = store_.remove(key, version);
        if (removed || removed.error() == StoreError::NotFound) {
            versions_.erase(name);
            return true;
        }
        return false;
    }
    const StoreResult<std::uint64_t> written =
        version == 0 ? store_.create(key, *value) : store_.update(key, *value, version);
    if (!written) {
        if (written.error() == StoreError::TooLarge) {
            logEvent(LogEvent::PlatformUnavailable,
                     "registration " + key + " exceeds the store's limit on the size of a value");
        }
        return false;
    }
    versions_[name] = *written;
    return true;
}

void RegistrationWriter::finish(const ServerName &name, std::uint64_t generation)
{
    const std::lock_guard lock(mutex_);
    const auto found = tasks_.find(name);
    if (found == tasks_.end() || found->second.generation != generation) {
        return;
    }
    for (Done &done : found->second.done) {
        asio::post(executor_, std::move(done));
    }
    tasks_.erase(found);
}

} // namespace Hibiscus
