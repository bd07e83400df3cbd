#ifndef HIBISCUS_PLATFORM_AUTOTESTS_SHAREDOBJECTSTORE_H
#define HIBISCUS_PLATFORM_AUTOTESTS_SHAREDOBJECTSTORE_H

#include "platform/memoryobjectstore.h"

#include <atomic>
#include <memory>

namespace Hibiscus
{

/** Interruptible access of one daemon to the store that all daemons of a test share. */
class SharedObjectStore : public ObjectStore
{
public:
    explicit SharedObjectStore(std::shared_ptr<MemoryObjectStore> store)
        : store_(std::move(store))
    {
    }
    StoreResult<StoredObject> get(const std::string &key) override
    {
        return check([&] { return store_->get(key); });
    }
    StoreResult<std::uint64_t> create(const std::string &key, const std::string &value) override
    {
        return check([&] { return store_->create(key, value); });
    }
    StoreResult<std::uint64_t> update(const std::string &key, const std::string &value, std::uint64_t version) override
    {
        return check([&] { return store_->update(key, value, version); });
    }
    StoreResult<std::vector<ListedObject>> list(const std::string &prefix) override
    {
        return check([&] { return store_->list(prefix); });
    }
    StoreResult<ObjectListing> listKind(const std::string &kind, ReadMode mode) override
    {
        return check([&] { return store_->listKind(kind, mode); });
    }
    StoreResult<ChangeBatch> watchKind(const std::string &kind, std::uint64_t revision, Millis, ReadMode mode) override
    {
        constexpr Millis kWatchTimeout{20};
        return check([&] { return store_->watchKind(kind, revision, kWatchTimeout, mode); });
    }
    StoreResult<void> remove(const std::string &key, std::uint64_t version) override
    {
        return check([&] { return store_->remove(key, version); });
    }
    void interrupt() override
    {
        interrupted_ = true;
    }

private:
    template<class Call>
    auto check(Call call) -> decltype(call())
    {
        if (interrupted_) {
            return tl::unexpected(StoreError::Unavailable);
        }
        return call();
    }

    std::shared_ptr<MemoryObjectStore> store_;
    std::atomic<bool> interrupted_{false};
};

} // namespace Hibiscus

#endif
