#ifndef HIBISCUS_PLATFORM_HTTPOBJECTSTORE_H
#define HIBISCUS_PLATFORM_HTTPOBJECTSTORE_H

#include "core/ids.h"
#include "platform/objectstore.h"

#include <memory>

namespace Hibiscus
{

struct HttpObjectStoreSettings {
    HostAddress address; ///< Address of the platform's object API.
    std::string localAddress; ///< IP address to connect from; empty lets the system choose.
    Millis connectTimeout{1000};
    Millis answerTimeout{2000}; ///< A watch waits for its own timeout in addition.
};

/**
 * Object store behind the platform's HTTP object API (docs/platform-api.md).
 *
 * Each call blocks and uses a connection of its own, since only a few calls a second are made and a kept-alive
 * connection that the platform has closed would make a write ambiguous for no reason. No call is ever repeated here.
 * The process ignores SIGPIPE from the first instance on.
 */
class HttpObjectStore : public ObjectStore
{
public:
    explicit HttpObjectStore(HttpObjectStoreSettings settings);
    ~HttpObjectStore() override;
    HttpObjectStore(const HttpObjectStore &) = delete;
    HttpObjectStore &operator=(const HttpObjectStore &) = delete;

    StoreResult<StoredObject> get(const std::string &key) override;
    StoreResult<std::uint64_t> create(const std::string &key, const std::string &value,
                                      const std::optional<Fence> &fence = std::nullopt) override;
    StoreResult<std::uint64_t> update(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
                                      const std::optional<Fence> &fence = std::nullopt) override;
    StoreResult<std::optional<StoredObject>> watch(const std::string &key, std::uint64_t afterVersion,
                                                   Millis timeout) override;
    StoreResult<std::vector<ListedObject>> list(const std::string &prefix) override;
    StoreResult<Lease> acquire(const std::string &name, const std::string &holder, Millis duration) override;
    StoreResult<Lease> renew(const Lease &lease) override;
    StoreResult<void> release(const Lease &lease) override;
    void interrupt() override;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
