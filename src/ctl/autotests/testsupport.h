#ifndef HIBISCUS_CTL_TESTSUPPORT_H
#define HIBISCUS_CTL_TESTSUPPORT_H

#include "core/manualclock.h"
#include "ctl/applycommand.h"
#include "ctl/waitcontext.h"
#include "platform/memoryobjectstore.h"

#include <functional>
#include <string>
#include <vector>

namespace Hibiscus
{

/** In-memory store that calls hooks around a write of the configuration and can drop such writes. */
class InterruptedStore : public MemoryObjectStore
{
public:
    using MemoryObjectStore::MemoryObjectStore;

    std::function<void()> beforeWrite; ///< Called once, before the next write of the object "config/deployment".
    std::function<void()> afterWrite; ///< Called once, after the next write of the object "config/deployment".
    int writesToDrop = 0; ///< Number of upcoming writes of that object that are dropped and reported as ambiguous.

    StoreResult<std::uint64_t> create(const std::string &key, const std::string &value) override
    {
        return write(key, [&] { return MemoryObjectStore::create(key, value); });
    }

    StoreResult<std::uint64_t> update(const std::string &key, const std::string &value,
                                      std::uint64_t expectedVersion) override
    {
        return write(key, [&] { return MemoryObjectStore::update(key, value, expectedVersion); });
    }

private:
    template<class Action>
    StoreResult<std::uint64_t> write(const std::string &key, Action action)
    {
        if (key != "config/deployment") {
            return action();
        }
        callOnce(beforeWrite);
        if (writesToDrop > 0) {
            --writesToDrop;
            return tl::unexpected(StoreError::Ambiguous);
        }
        auto result = action();
        callOnce(afterWrite);
        return result;
    }

    static void callOnce(std::function<void()> &callback)
    {
        if (const auto hook = std::exchange(callback, nullptr)) {
            hook();
        }
    }
};

/** Sleeper that advances a manual clock and then calls a hook. */
class ManualSleeper : public Sleeper
{
public:
    explicit ManualSleeper(ManualClock &clock)
        : clock_(clock)
    {
    }

    std::function<void()> onSleep;

    void sleep(Millis duration) override
    {
        clock_.advance(duration);
        if (onSleep) {
            onSleep();
        }
    }

private:
    ManualClock &clock_;
};

class RecordingProgress : public Progress
{
public:
    std::vector<std::string> lines;

    void report(const std::string &line) override
    {
        lines.push_back(line);
    }
};

/** Store, clock, sleeper and progress output of a command under test. */
struct CommandFixture {
    ManualClock clock;
    ManualSleeper sleeper{clock};
    RecordingProgress progress;
    InterruptedStore store;
    WaitContext waitContext{clock, sleeper, progress};
};

/** Valid configuration of two failure domains. @p slots is the number of slots of desk-1. */
inline ConfigurationFiles exampleFiles(int slots)
{
    ConfigurationFiles files;
    files.inventory.domains = {{FailureDomainName("a"), "r"}, {FailureDomainName("b"), "r"}};
    files.inventory.services = {ServiceName("desk")};
    files.inventory.servers = {{ServerName("desk-1"), ServiceName("desk"), FailureDomainName("a"), slots, 900},
                               {ServerName("desk-2"), ServiceName("desk"), FailureDomainName("b"), 10, 900}};
    files.rules.classes = {{ClassName("low"), 0, true, {1000}}, {ClassName("high"), 1, false, {5000}}};
    files.rules.routes = {{ServiceName("desk"), "POST", "/holds", ClassName("high")}};
    files.rules.defaultClass = ClassName("low");
    return files;
}

inline ApplyRequest exampleRequest(int slots, std::optional<int> base, const std::string &author = "aiko")
{
    ApplyRequest request;
    request.files = exampleFiles(slots);
    if (base) {
        request.base = ConfigVersion(static_cast<std::uint64_t>(*base));
    }
    request.author = author;
    request.message = "slots as measured";
    request.changeId = author + "-" + std::to_string(slots);
    request.unixMillis = 1'764'800'000'000;
    request.timeout = Millis{20'000};
    return request;
}

/** All lines of a result as one string. */
inline std::string joinLines(const CommandResult &result)
{
    std::string text;
    for (const std::string &line : result.lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace Hibiscus

#endif
