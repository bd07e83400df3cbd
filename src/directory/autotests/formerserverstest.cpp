#include "directory/formerservers.h"

#include "core/manualclock.h"

#include <memory>
#include <vector>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

HostAddress daemonOf(int number)
{
    return HostAddress("10.0.0." + std::to_string(number) + ":80");
}

ServerRegistration registration(int number, ServerState state)
{
    return {ServerName("i-" + std::to_string(number)),
            ServiceName("desk"),
            FailureDomainName("a"),
            daemonOf(number),
            Incarnation(1),
            1000,
            1000,
            10,
            state};
}

/** Servers 1 to 5, of which server 1 has left. */
ServerDirectory sampleDirectory()
{
    ServerDirectory directory;
    for (int number = 1; number <= 5; ++number) {
        directory.apply(registration(number, number == 1 ? ServerState::Left : ServerState::Ready), {1, 10});
    }
    return directory;
}

} // namespace

TEST_CASE("FormerServers: the entry of a server that left is removed by the daemon beside it, once nothing can arrive")
{
    // Guards against an entry that goes while a heartbeat of its process may still come, and against one that stays.
    const ServerDirectory directory = sampleDirectory();
    ManualClock clock;
    FormerServers servers(daemonOf(1), clock);
    CHECK(servers.remember(registration(1, ServerState::Left)));
    CHECK_FALSE(servers.remember(registration(1, ServerState::Left)));
    CHECK(servers.takeExpired(directory).empty());
    clock.advance(FormerServers::kLifetime - Millis{1});
    CHECK(servers.takeExpired(directory).empty());
    CHECK(servers.own().size() == 1);
    clock.advance(Millis{1});
    REQUIRE(servers.takeExpired(directory).size() == 1);
    CHECK(servers.own().empty());
    CHECK(servers.takeExpired(directory).empty());
}

TEST_CASE("FormerServers: if its host is gone, the other daemons remove the entry, never two at the same time")
{
    // Guards against an entry that nobody removes, and against all daemons that remove it at once.
    const ServerDirectory directory = sampleDirectory();
    ManualClock clock;
    std::vector<std::unique_ptr<FormerServers>> daemons;
    for (int number = 2; number <= 5; ++number) {
        daemons.push_back(std::make_unique<FormerServers>(daemonOf(number), clock));
        daemons.back()->takeExpired(directory);
    }
    std::vector<int> removals;
    for (int lifetime = 1; lifetime <= 5; ++lifetime) {
        clock.advance(FormerServers::kLifetime);
        // The daemon whose turn it is ends before it has removed the entry.
        removals.push_back(static_cast<int>(
            std::erase_if(daemons, [&](const auto &daemon) { return !daemon->takeExpired(directory).empty(); })));
    }
    CHECK(removals == std::vector<int>{0, 1, 1, 1, 1});
}

TEST_CASE("FormerServers: a server that registers again is no former one")
{
    ServerDirectory directory = sampleDirectory();
    ManualClock clock;
    FormerServers servers(daemonOf(1), clock);
    servers.remember(registration(1, ServerState::Left));
    servers.takeExpired(directory);
    ServerRegistration next = registration(1, ServerState::Ready);
    next.startedAt = 2000;
    directory.apply(next, {1, 11});
    servers.forget(next.name);
    clock.advance(FormerServers::kLifetime * 10);
    CHECK(servers.takeExpired(directory).empty());
    CHECK(servers.own().empty());
    // Later news of the earlier process are older than what is known of the later one.
    next.state = ServerState::Left;
    CHECK(servers.remember(next));
    CHECK_FALSE(servers.remember(registration(1, ServerState::Left)));
    CHECK(servers.own().at(next.name).startedAt == 2000);
}
