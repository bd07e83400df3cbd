#include "bench/fakeplatform.h"

#include <algorithm>
#include <utility>

namespace Hibiscus
{

void FakePlatform::call(const PlatformCall &call, double now, Reply reply)
{
    if (down_) {
        ++counts_.refused;
        reply({PlatformResult::Status::Unavailable, {}, 0});
        return;
    }
    switch (call.kind) {
    case PlatformCall::Kind::Get:
        ++counts_.reads;
        reply(get(call.key));
        return;
    case PlatformCall::Kind::Create:
    case PlatformCall::Kind::Update:
        ++counts_.writes;
        reply(put(call));
        return;
    case PlatformCall::Kind::Watch:
        ++counts_.reads;
        watches_.push_back({call, now + call.timeout.value, std::move(reply)});
        fireWatches();
        return;
    }
}

PlatformResult FakePlatform::get(const std::string &key)
{
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return {PlatformResult::Status::NotFound, {}, 0};
    }
    counts_.readBytes += found->second.value.size();
    return {PlatformResult::Status::Ok, found->second.value, found->second.version};
}

PlatformResult FakePlatform::put(const PlatformCall &call)
{
    const auto found = objects_.find(call.key);
    const std::uint64_t version = found == objects_.end() ? 0 : found->second.version;
    const std::uint64_t expected = call.kind == PlatformCall::Kind::Create ? 0 : call.version;
    if (version != expected) {
        return {PlatformResult::Status::Conflict, {}, 0};
    }
    return {PlatformResult::Status::Ok, {}, write(call.key, call.value)};
}

std::uint64_t FakePlatform::write(const std::string &key, const std::string &value)
{
    counts_.writtenBytes += value.size();
    Object &object = objects_[key];
    object.value = value;
    const std::uint64_t version = ++object.version;
    fireWatches();
    return version;
}

std::string FakePlatform::read(const std::string &key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::string() : found->second.value;
}

void FakePlatform::fireWatches()
{
    std::vector<Watch> ready;
    std::erase_if(watches_, [&](Watch &watch) {
        const auto found = objects_.find(watch.call.key);
        if (found == objects_.end() || found->second.version <= watch.call.version) {
            return false;
        }
        ready.push_back(std::move(watch));
        return true;
    });
    for (const Watch &watch : ready) {
        watch.reply(get(watch.call.key));
    }
}

void FakePlatform::expireWatches(double now)
{
    std::vector<Watch> ready;
    std::erase_if(watches_, [&](Watch &watch) {
        const bool expired = watch.until <= now;
        if (expired) {
            ready.push_back(std::move(watch));
        }
        return expired;
    });
    for (const Watch &watch : ready) {
        watch.reply({PlatformResult::Status::Unchanged, {}, watch.call.version});
    }
}

void FakePlatform::setDown(bool down)
{
    down_ = down;
    if (down_) {
        const std::vector<Watch> ended = std::exchange(watches_, {});
        for (const Watch &watch : ended) {
            watch.reply({PlatformResult::Status::Unavailable, {}, 0});
        }
    }
}

const FakePlatform::Counts &FakePlatform::counts() const
{
    return counts_;
}

std::size_t FakePlatform::waitingWatches() const
{
    return watches_.size();
}

} // namespace Hibiscus
