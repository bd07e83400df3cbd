#include "directory/serverdirectory.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

ServerRegistration registration(const std::string &name, std::int64_t daemonStartedAt = 10,
                                ServerState state = ServerState::Ready)
{
    return {ServerName(name),
            ServiceName("desk"),
            FailureDomainName("a"),
            HostAddress("10.0.0.1:80"),
            Incarnation(static_cast<std::uint64_t>(daemonStartedAt)),
            1,
            daemonStartedAt,
            10,
            state};
}

/** Revision in the first era of the store. */
StoreRevision at(std::uint64_t number)
{
    return {1, number};
}

ServerState stateOf(const ServerDirectory &directory, const std::string &name)
{
    return directory.find(ServerName(name))->registration.state;
}

} // namespace

TEST_CASE("ServerDirectory: the order and the number of deliveries don't matter")
{
    // Guards against a delayed copy that undoes a drain or restores a server that was removed.
    ServerDirectory directory;
    CHECK(directory.apply(registration("i-1"), at(5)));
    CHECK(directory.apply(registration("i-1", 10, ServerState::Draining), at(8)));
    CHECK_FALSE(directory.apply(registration("i-1"), at(5)));
    CHECK(stateOf(directory, "i-1") == ServerState::Draining);
    CHECK(directory.remove(ServerName("i-1"), at(9)));
    CHECK_FALSE(directory.apply(registration("i-1", 10, ServerState::Draining), at(8)));
    CHECK(directory.find(ServerName("i-1")) == nullptr);
    CHECK(directory.apply(registration("i-1"), at(12)));
}

TEST_CASE("ServerDirectory: a listing removes the servers that it doesn't contain, except those registered later")
{
    // Guards against servers that are never removed because the store lost the history with their removal.
    ServerDirectory directory;
    directory.apply(registration("i-1"), at(5));
    directory.apply(registration("i-2"), at(20));
    directory.replace({{registration("i-3"), 7}}, at(10));
    CHECK(directory.find(ServerName("i-1")) == nullptr);
    CHECK(directory.find(ServerName("i-2")) != nullptr);
    CHECK(directory.find(ServerName("i-3")) != nullptr);
}

TEST_CASE("ServerDirectory: registrations directly from daemons are applied, but never undo a drain")
{
    // Guards against a daemon that restarts while the store is unreachable and gets no requests, and against a draining
    // server that gets new ones.
    ServerDirectory directory;
    directory.apply(registration("i-1", 10), at(5));
    CHECK(directory.applyDirect(registration("i-1", 20)));
    CHECK(directory.find(ServerName("i-1"))->registration.incarnation == Incarnation(20));
    CHECK_FALSE(directory.applyDirect(registration("i-1", 10)));
    CHECK(directory.applyDirect(registration("i-1", 20, ServerState::Draining)));
    CHECK_FALSE(directory.applyDirect(registration("i-1", 20)));
    CHECK(stateOf(directory, "i-1") == ServerState::Draining);
    // A restarted daemon that took a late check-in for the present state of the same server process.
    CHECK(directory.apply(registration("i-1", 30), at(6)));
    CHECK(stateOf(directory, "i-1") == ServerState::Draining);
    ServerRegistration nextProcess = registration("i-1", 30);
    nextProcess.startedAt = 2;
    CHECK(directory.apply(nextProcess, at(7)));
    CHECK(stateOf(directory, "i-1") == ServerState::Ready);
    directory.remove(ServerName("i-1"), at(8));
    CHECK_FALSE(directory.applyDirect(registration("i-1", 30)));
}

TEST_CASE("ServerDirectory: revisions of two eras of the store are not compared by their numbers")
{
    // Guards against a store that comes back from an older copy and gives out revisions again.
    ServerDirectory directory;
    directory.apply(registration("i-1"), at(50));
    directory.apply(registration("i-2"), at(51));
    directory.apply(registration("i-3"), at(52));
    directory.remove(ServerName("i-3"), at(53));
    // The copy lacks i-2, still has i-3, and a late message of the first era has yet to arrive.
    ServerRegistration changed = registration("i-1");
    changed.slots = 11;
    directory.replace({{changed, {2, 7}}, {registration("i-3"), {2, 8}}}, {2, 9});
    CHECK(directory.find(ServerName("i-1"))->registration.slots == 11);
    CHECK(directory.find(ServerName("i-2")) != nullptr);
    CHECK(directory.find(ServerName("i-3")) == nullptr);
    CHECK_FALSE(directory.apply(registration("i-1"), at(60)));
    CHECK(directory.apply(registration("i-2"), {2, 10}));
    // A restarted daemon has written i-3 again.
    CHECK(directory.apply(registration("i-3", 20), {2, 11}));
    CHECK_FALSE(directory.removeUnconfirmed(2));
    directory.replace({}, {3, 1});
    CHECK(directory.entries().size() == 3);
    CHECK(directory.removeUnconfirmed(3));
    CHECK(directory.entries().empty());
}

TEST_CASE("ServerDirectory: a server process that said that it leaves stays so, whichever registration arrives later")
{
    // Guards against an old entry, or one of a daemon that lags, that puts a leaving server in use again.
    ServerDirectory directory;
    directory.apply(registration("i-1"), at(5));
    CHECK_FALSE(directory.markDraining(ServerName("i-1"), 0));
    CHECK(stateOf(directory, "i-1") == ServerState::Ready);
    CHECK(directory.markDraining(ServerName("i-1"), 1));
    CHECK_FALSE(directory.markDraining(ServerName("i-1"), 1));
    directory.apply(registration("i-1"), at(6));
    CHECK(stateOf(directory, "i-1") == ServerState::Draining);
    directory.applyDirect(registration("i-1", 20));
    CHECK(stateOf(directory, "i-1") == ServerState::Draining);
    directory.remove(ServerName("i-1"), at(7));
    directory.apply(registration("i-1", 30), at(8));
    CHECK(stateOf(directory, "i-1") == ServerState::Draining);
    // The news came before the registration.
    directory.markDraining(ServerName("i-2"), 1);
    directory.applyDirect(registration("i-2"));
    CHECK(stateOf(directory, "i-2") == ServerState::Draining);
}

TEST_CASE("ServerDirectory: a server process that has left stays so, and a later one of its name is in use at once")
{
    // Guards against a restarted daemon that registers a server which had left, since a late heartbeat came.
    ServerDirectory directory;
    directory.apply(registration("i-1"), at(5));
    CHECK(directory.applyDirect(registration("i-1", 10, ServerState::Left)));
    CHECK(stateOf(directory, "i-1") == ServerState::Left);
    directory.apply(registration("i-1", 20), at(6));
    CHECK(stateOf(directory, "i-1") == ServerState::Left);
    CHECK_FALSE(directory.markDraining(ServerName("i-1"), 1));
    // Its entry is removed, and the store comes back from a copy that still has it.
    directory.remove(ServerName("i-1"), at(7));
    directory.replace({{registration("i-1", 20), {2, 4}}}, {2, 4});
    directory.apply(registration("i-1", 30), {2, 5});
    CHECK(stateOf(directory, "i-1") == ServerState::Left);
    ServerRegistration next = registration("i-1", 30);
    next.startedAt = 2;
    CHECK(directory.applyDirect(next));
    CHECK(stateOf(directory, "i-1") == ServerState::Ready);
    // News of a later process of the same name say that this one has ended.
    CHECK(directory.markDraining(ServerName("i-1"), 3));
    CHECK(stateOf(directory, "i-1") == ServerState::Left);
}

TEST_CASE("ServerRegistration: malformed entries are rejected")
{
    // Guards against an entry of another writer, or a damaged one, that makes daemons send requests to a server.
    const ServerName name("i-1");
    const std::string text = serializeRegistration(registration("i-1", 10, ServerState::Detached));
    REQUIRE(parseRegistration(name, text).has_value());
    CHECK(parseRegistration(name, text)->state == ServerState::Detached);
    for (const char *damaged : {"", "[]", "{}", "null", R"({"service":5})"}) {
        CAPTURE(damaged);
        CHECK_FALSE(parseRegistration(name, damaged).has_value());
    }
    for (std::size_t length = 0; length < text.size(); ++length) {
        CHECK_FALSE(parseRegistration(name, text.substr(0, length)).has_value());
    }
    std::string negative = text;
    negative.replace(negative.find("\"slots\":10"), 10, "\"slots\":-1");
    CHECK_FALSE(parseRegistration(name, negative).has_value());
    CHECK_FALSE(parseRegistration(ServerName(""), text).has_value());
}
