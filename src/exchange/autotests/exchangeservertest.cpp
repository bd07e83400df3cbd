#include "exchange/exchangeserver.h"

#include <doctest/doctest.h>

#include <random>

using namespace Hibiscus;

namespace
{

DirectoryMessage exampleMessage()
{
    DirectoryMessage message;
    message.sender = HostAddress("10.0.0.1:80");
    message.configurationRevision = {3, 7};
    message.configurationDigest = 0xFFFFFFFFFFFFFFF3U;
    message.configuration = R"({"version":7})";
    message.digest = 0xFFFFFFFFFFFFFFFFU;
    message.servers = {{{ServerName("i-1"), ServiceName("desk"), FailureDomainName("a"), HostAddress("10.0.0.1:80"),
                         Incarnation(0xFFFFFFFFFFFFFFF1U), 1764000000000, 1764000000001, 158, ServerState::Draining},
                        {3, 42}}};
    message.crashes = {{{Incarnation(9), 3}, Millis{12.5}, {Signature(1)}, {Signature(0xFFFFFFFFFFFFFFF2U)}}};
    return message;
}

} // namespace

TEST_CASE("ExchangeServer: a request and its reply arrive unchanged")
{
    // Guards against numbers that lose bits in JSON, and against fields that are encoded but not decoded, or vice
    // versa.
    JsonRpcConnector connector;
    DirectoryMessage received;
    ExchangeServer server(connector, [&](const DirectoryMessage &message) {
        received = message;
        return exampleMessage();
    });
    const auto reply = parseExchangeReply(connector.process(serializeExchangeRequest(exampleMessage())));
    REQUIRE(reply.has_value());
    for (const DirectoryMessage &message : {received, *reply}) {
        CHECK(message.sender == exampleMessage().sender);
        CHECK(message.configurationRevision == StoreRevision{3, 7});
        CHECK(message.configurationDigest == 0xFFFFFFFFFFFFFFF3U);
        CHECK(message.configuration == exampleMessage().configuration);
        CHECK(message.digest == exampleMessage().digest);
        REQUIRE(message.servers.size() == 1);
        CHECK(message.servers[0].registration == exampleMessage().servers[0].registration);
        CHECK(message.servers[0].revision == StoreRevision{3, 42});
        CHECK(message.crashes == exampleMessage().crashes);
    }
}

TEST_CASE("ExchangeServer: damaged requests get an error and change nothing")
{
    // Guards against a damaged message that ends the process or is accepted as a valid one.
    JsonRpcConnector connector;
    ExchangeServer server(connector, [](const DirectoryMessage &) { return DirectoryMessage{}; });
    const std::string text = serializeExchangeRequest(exampleMessage());
    std::mt19937_64 random(20261204);
    constexpr int kRounds = 2000;
    for (int round = 0; round < kRounds; ++round) {
        std::string damaged = text.substr(0, random() % text.size());
        if (!damaged.empty()) {
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        }
        CHECK_FALSE(parseExchangeReply(connector.process(damaged)).has_value());
    }
    CHECK_FALSE(parseExchangeReply(std::string(5000, '[')).has_value());
}
