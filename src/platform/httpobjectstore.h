#ifndef HIBISCUS_PLATFORM_HTTPOBJECTSTORE_H
#define HIBISCUS_PLATFORM_HTTPOBJECTSTORE_H

#include "platform/objectstore.h"
#include "platform/storetransport.h"

#include <memory>

namespace Hibiscus
{

/**
 * Object store that uses the HTTP object API of docs/platform-api.md. Calls are never repeated; errors are those of
 * StoreTransport and those that the platform reports.
 */
class HttpObjectStore : public ObjectStore
{
public:
    explicit HttpObjectStore(StoreTransportSettings settings);
    ~HttpObjectStore() override;
    HttpObjectStore(const HttpObjectStore &) = delete;
    HttpObjectStore &operator=(const HttpObjectStore &) = delete;

    StoreResult<StoredObject> get(const std::string &key) override;
    StoreResult<std::uint64_t> create(const std::string &key, const std::string &value) override;
    StoreResult<std::uint64_t> update(const std::string &key, const std::string &value,
                                      std::uint64_t expectedVersion) override;
    StoreResult<std::vector<ListedObject>> list(const std::string &prefix) override;
    StoreResult<ObjectListing> listKind(const std::string &kind, ReadMode mode) override;
    StoreResult<ChangeBatch> watchKind(const std::string &kind, std::uint64_t revision, Millis timeout,
                                       ReadMode mode) override;
    StoreResult<void> remove(const std::string &key, std::uint64_t expectedVersion) override;
    void interrupt() override;

private:
    StoreResult<StoreResponse> call(const StoreCall &call);
    StoreResult<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedVersion);

    StoreTransport transport_;
};

} // namespace Hibiscus

#endif
