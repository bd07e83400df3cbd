#include "mesh/clientguard.h"

#include <string>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

std::string settingsWith(const std::string &clients)
{
    return R"({"mode": "mesh", "host": "h", "domain": "a", "service": "s", "callers": "127.0.0.1:1",
               "ready": "127.0.0.1:2", "checkIns": "127.0.0.1:3", "peers": "127.0.0.1:4", "backend": "127.0.0.1:5",
               "store": "127.0.0.1:6", "gracePeriod": "6s",
               "retryBudget": {"ratio": 0.2, "window": "10s", "slack": 50})"
        + clients + "}";
}

} // namespace

TEST_CASE("clientLimits: no client inside the largest usual limits meets the defaults, and they fit the smallest host")
{
    constexpr std::size_t kLargestBody = 64U << 20U;
    constexpr std::size_t kSmallestDescriptors = 4100;
    const ClientLimits limits = clientLimits({}, kSmallestDescriptors);
    CHECK(static_cast<double>(limits.heldBytes) * (1 - ClientBudget::kInnerFraction) > kLargestBody + (1U << 20U));
    CHECK(limits.heldBytes < 80U << 20U);
    CHECK(limits.connections == 3076);
    CHECK(clientLimits({}, 100).connections == 50);
    const ClientLimits chosen = clientLimits({2'000'000, 40}, kSmallestDescriptors);
    CHECK(chosen.heldBytes == 2'000'000);
    CHECK(chosen.connections == 40);
}

TEST_CASE("parseMeshSettings: the bounds on clients are optional and checked")
{
    const auto without = parseMeshSettings(settingsWith(""), "f");
    REQUIRE(without.has_value());
    CHECK(without->clients.heldBytes == 0);
    const auto with = parseMeshSettings(settingsWith(R"(, "clients": {"heldBytes": 8388608})"), "f");
    REQUIRE(with.has_value());
    CHECK(with->clients.heldBytes == 8'388'608);
    CHECK(with->clients.connections == 0);
    CHECK_FALSE(parseMeshSettings(settingsWith(R"(, "clients": {"connections": 1})"), "f").has_value());
    CHECK_FALSE(parseMeshSettings(settingsWith(R"(, "clients": {"other": 1})"), "f").has_value());
}

TEST_CASE("listenerLimits: a request that another daemon passes on may have the fields of the hop as well")
{
    const CallerLimits limits;
    CHECK(listenerLimits(limits, ClientShare::Callers).headerBytes == limits.headerBytes);
    CHECK(listenerLimits(limits, ClientShare::Inner).headerBytes > limits.headerBytes);
    CHECK(listenerLimits(limits, ClientShare::Inner).bodyBytes == limits.bodyBytes);
}
