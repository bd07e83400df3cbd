#include "directory/localserver.h"

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

const ServerName kServer("i-1");

CheckIn checkIn(std::uint64_t sequence, ServerState state, std::int64_t startedAt = 1000,
                const ServerName &name = kServer)
{
    return {name, ServiceName("desk"), HostAddress("10.0.0.1:80"), FailureDomainName("a"), startedAt, sequence, 10,
            state};
}

LocalServer newServer()
{
    return {ServiceName("desk"), HostAddress("10.0.0.1:80")};
}

} // namespace

TEST_CASE("LocalServer: requests are sent only to the server that checked in")
{
    // Guards against a request that reaches a server of another name, or one that has not checked in.
    LocalServer server = newServer();
    CHECK(server.refusal(kServer) == ErrorKind::Misdirected);
    CHECK(server.receive(checkIn(1, ServerState::Ready)) == CheckInResult::Started);
    CHECK_FALSE(server.refusal(kServer).has_value());
    CHECK(server.refusal(ServerName("i-2")) == ErrorKind::Misdirected);
    CHECK(server.receive(checkIn(2, ServerState::Ready)) == CheckInResult::Unchanged);
}

TEST_CASE("LocalServer: check-ins from elsewhere change nothing")
{
    // Guards against a delayed check-in of a server that had the address before, and against a forged one.
    LocalServer server = newServer();
    CheckIn other = checkIn(1, ServerState::Ready);
    other.service = ServiceName("board");
    CHECK(server.receive(other) == CheckInResult::NotLocal);
    other = checkIn(1, ServerState::Ready);
    other.address = HostAddress("10.0.0.2:80");
    CHECK(server.receive(other) == CheckInResult::NotLocal);
    CHECK_FALSE(server.current().has_value());
}

TEST_CASE("LocalServer: a server that drains or has left gets no new requests, whatever check-ins arrive late")
{
    // Guards against new requests for a server whose drain or leave was acknowledged.
    LocalServer server = newServer();
    server.receive(checkIn(1, ServerState::Ready));
    CHECK(server.receive(checkIn(3, ServerState::Draining)) == CheckInResult::Changed);
    CHECK(server.receive(checkIn(2, ServerState::Ready)) == CheckInResult::Stale);
    CHECK(server.receive(checkIn(4, ServerState::Ready)) == CheckInResult::Unchanged);
    CHECK(server.refusal(kServer) == ErrorKind::Draining);
    CHECK(server.leave(kServer, {}) == 1000);
    CHECK(server.receive(checkIn(5, ServerState::Ready)) == CheckInResult::Stale);
    CHECK(server.refusal(kServer) == ErrorKind::Misdirected);
    // The server repeats its notice.
    CHECK(server.leave(kServer, {}) == 1000);
    CHECK(server.isLeaving(kServer));
    CHECK_FALSE(server.leave(ServerName("i-9"), {}).has_value());
}

TEST_CASE("LocalServer: a leave notice counts for the process that sent it")
{
    // Guards against a late notice of an earlier process that takes a sound server out of use for good.
    LocalServer server = newServer();
    server.receive(checkIn(1, ServerState::Ready, 2000));
    CHECK(server.leave(kServer, 1000) == 1000);
    CHECK_FALSE(server.refusal(kServer).has_value());
    CHECK_FALSE(server.isLeaving(kServer));
    CHECK(server.leave(kServer, 2000) == 2000);
    CHECK(server.refusal(kServer) == ErrorKind::Misdirected);
    CHECK(server.receive(checkIn(9, ServerState::Ready, 2000)) == CheckInResult::Stale);
    CHECK(server.receive(checkIn(1, ServerState::Ready, 3000)) == CheckInResult::Started);
    CHECK_FALSE(server.refusal(kServer).has_value());
}

TEST_CASE("LocalServer: a process whose leave notice came before any check-in never becomes the local server")
{
    // Guards against a heartbeat that was held up and comes to a restarted daemon after the notice.
    LocalServer server = newServer();
    CHECK(server.leave(kServer, 1000) == 1000);
    CHECK(server.receive(checkIn(7, ServerState::Ready, 1000)) == CheckInResult::Stale);
    CHECK_FALSE(server.current().has_value());
    CHECK(server.isLeaving(kServer));
}

TEST_CASE("LocalServer: a new server process replaces an earlier one, and never the other way round")
{
    // Guards against a delayed check-in of a crashed process that replaces the server that runs now.
    LocalServer server = newServer();
    server.receive(checkIn(9, ServerState::Draining, 1000));
    CHECK(server.receive(checkIn(1, ServerState::Ready, 2000)) == CheckInResult::Started);
    CHECK_FALSE(server.refusal(kServer).has_value());
    CHECK(server.receive(checkIn(10, ServerState::Ready, 1000)) == CheckInResult::Stale);
    CHECK(server.receive(checkIn(1, ServerState::Ready, 3000, ServerName("i-2"))) == CheckInResult::Started);
    CHECK(server.refusal(kServer) == ErrorKind::Misdirected);
}

TEST_CASE("LocalServer: a restarted daemon still treats its server as draining")
{
    // Guards against new requests for a draining server after its daemon was killed.
    LocalServer server = newServer();
    server.markDraining(kServer, 1000);
    server.receive(checkIn(5, ServerState::Ready));
    CHECK(server.refusal(kServer) == ErrorKind::Draining);
    CHECK(server.receive(checkIn(1, ServerState::Ready, 2000)) == CheckInResult::Started);
    CHECK_FALSE(server.refusal(kServer).has_value());
}
