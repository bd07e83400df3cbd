#include "core/manualclock.h"
#include "routing/balancer.h"

#include <set>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

const FailureDomainName kDomain("own");

ServerName nameOf(int number)
{
    return ServerName("s" + std::to_string(number));
}

std::vector<ServerView> listServers(int count)
{
    std::vector<ServerView> views;
    for (int i = 0; i < count; ++i) {
        views.push_back({nameOf(i), HostAddress(), Incarnation(1), kDomain});
    }
    return views;
}

} // namespace

TEST_CASE("Balancer: servers that are gone for good and stay listed don't keep the last one from being used")
{
    // Guards against places of the subset that lost servers keep, so that a sound one beyond them is never asked.
    constexpr int kListed = 98;
    for (const int alive : {0, 20, 57, 97}) {
        CAPTURE(alive);
        ManualClock clock;
        SeededRandom random{3};
        Balancer balancer({ServerName("me"), kDomain}, clock, random);
        balancer.update(listServers(kListed));
        int served = 0;
        constexpr int kRequests = 200;
        constexpr int kLast = 50; ///< Of the requests.
        constexpr int kMostProbes = 2; ///< Of these that only meet lost servers, which are probed.
        constexpr std::size_t kAttempts = 3;
        for (int request = 0; request < kRequests; ++request) {
            clock.advance(Millis{75});
            std::vector<ServerName> tried;
            bool isServed = false;
            while (!isServed && tried.size() < kAttempts) {
                const auto name = balancer.pick(Level{0}, tried);
                if (!name) {
                    break;
                }
                balancer.started(*name);
                isServed = *name == nameOf(alive);
                if (isServed) {
                    balancer.finished(*name, {.level = {}, .headroom = 5, .limit = 10});
                } else {
                    balancer.connectFailed(*name);
                    tried.push_back(*name);
                }
            }
            served += isServed && request >= kRequests - kLast ? 1 : 0;
        }
        CHECK(served >= kLast - kMostProbes);
        CHECK(balancer.subset().size() <= 2 * kSubsetSize + 1);
    }
}

TEST_CASE("Balancer: a server that was out of reach returns, and its substitute goes")
{
    // Guards against a subset that grows with each cut, and against a server outside it that is never tried again.
    constexpr int kListed = 40;
    ManualClock clock;
    SeededRandom random{3};
    Balancer balancer({ServerName("me"), kDomain}, clock, random);
    balancer.update(listServers(kListed));
    const std::vector<ServerView> before = balancer.subset();
    bool isCut = true;
    std::set<ServerName> tried;
    const auto run = [&](int requests) {
        for (int request = 0; request < requests; ++request) {
            clock.advance(Millis{75});
            const auto name = balancer.pick(Level{0}, {});
            if (!name) {
                continue;
            }
            tried.insert(*name);
            balancer.started(*name);
            if (isCut) {
                balancer.connectFailed(*name);
            } else {
                balancer.finished(*name, {.level = {}, .headroom = 5, .limit = 10});
            }
        }
    };
    run(400);
    CHECK(tried.size() == kListed);
    isCut = false;
    run(400);
    CHECK(balancer.subset() == before);
}
