#ifndef HIBISCUS_DISCOVERY_REGISTRATIONWRITER_H
#define HIBISCUS_DISCOVERY_REGISTRATIONWRITER_H

#include "directory/serverregistration.h"
#include "platform/objectstore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/any_io_executor.hpp>

namespace Hibiscus
{

/** Key of a server's registration in the store. */
std::string registrationKey(const ServerName &name);

/** Inverse of registrationKey(); empty if the key holds no name. */
std::optional<ServerName> serverOfKey(const std::string &key);

/**
 * Writes the registrations of this daemon's servers to the store, on a thread of its own since calls to the store
 * block.
 *
 * Writes are conditional. After a conflict or a lost response the object is read before the next write. A write is
 * repeated until the store holds the value that was requested last.
 */
class RegistrationWriter
{
public:
    /** Called on the executor when the store holds the requested value, or one requested later. */
    using Done = std::function<void()>;

    RegistrationWriter(asio::any_io_executor executor, ObjectStore &store);
    ~RegistrationWriter();
    RegistrationWriter(const RegistrationWriter &) = delete;
    RegistrationWriter &operator=(const RegistrationWriter &) = delete;

    void start();
    /** Joins the thread. The store must be interrupted first. */
    void stop();

    void put(const ServerRegistration &registration, Done done = nullptr);
    void remove(const ServerName &name, Done done = nullptr);
    /** Removes a registration if it is of the server process that started at @p startedAt, or of an earlier one. */
    void removeFormer(const ServerName &name, std::int64_t startedAt);
    /** Whether a write or removal of this registration has been requested and not been done yet. */
    bool isPending(const ServerName &name) const;
    /** The store came back from an older copy, so that the versions known of its objects mean nothing any more. */
    void forgetVersions();

private:
    struct Task {
        std::optional<std::string> value; ///< Empty to remove the object.
        std::optional<std::int64_t> formerStart; ///< Only a process that started by then is removed; empty for any.
        std::uint64_t generation = 0;
        std::vector<Done> done;
    };

    void enqueue(const ServerName &name, Task task);
    void run();
    /** Writes or removes the registration; true if the store holds @p value afterwards. */
    bool execute(const ServerName &name, const std::optional<std::string> &value);
    void executeRemoval(const ServerName &name, std::int64_t formerStart);
    bool write(const std::string &key, const std::optional<std::string> &value, std::uint64_t version);
    void finish(const ServerName &name, std::uint64_t generation);

    asio::any_io_executor executor_;
    ObjectStore &store_;
    std::thread thread_;
    mutable std::mutex mutex_;
    std::condition_variable wakeUp_;
    bool stopping_ = false;
    bool versionsAreOutdated_ = false;
    std::uint64_t generation_ = 0;
    std::map<ServerName, Task> tasks_;
    std::map<ServerName, std::uint64_t> versions_; ///< Last known versions in the store; used by the thread only.
};

} // namespace Hibiscus

#endif
