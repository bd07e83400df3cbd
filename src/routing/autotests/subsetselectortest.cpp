#include "routing/subsetselector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Hibiscus;

namespace
{

ServerView serverOf(int number, int domain)
{
    return {ServerName("s" + std::to_string(number)), HostAddress(), Incarnation(1),
            FailureDomainName("d" + std::to_string(domain))};
}

std::vector<ServerView> arbitraryServers()
{
    const int count = *rc::gen::inRange(0, 60);
    const int domains = *rc::gen::inRange(1, 7);
    std::vector<ServerView> servers;
    for (int i = 0; i < count; ++i) {
        servers.push_back(serverOf(i, *rc::gen::inRange(0, domains)));
    }
    return servers;
}

std::set<ServerName> namesOf(const std::vector<ServerView> &servers)
{
    std::set<ServerName> names;
    std::transform(servers.begin(), servers.end(), std::inserter(names, names.end()),
                   [](const ServerView &server) { return server.name; });
    return names;
}

} // namespace

TEST_CASE("SubsetSelector: at most 12 servers, own domain first, and a fall-back in three other domains")
{
    // Guards against too many connections, and against a subset that fails together with the own domain.
    CHECK(rc::check([] {
        const SubsetSelector selector(ServerName("me" + std::to_string(*rc::gen::inRange(0, 1000))),
                                      FailureDomainName("d0"));
        const auto servers = arbitraryServers();
        std::map<FailureDomainName, std::size_t> all;
        std::map<FailureDomainName, std::size_t> chosen;
        for (const ServerView &server : servers) {
            ++all[server.domain];
        }
        const auto subset = selector.select(servers);
        for (const ServerView &server : subset) {
            ++chosen[server.domain];
        }
        const FailureDomainName own("d0");
        const std::size_t otherDomains = all.size() - all.count(own);
        const std::size_t fallback = std::min<std::size_t>(3, otherDomains);
        RC_ASSERT(namesOf(subset).size() == std::min<std::size_t>(12, servers.size()));
        RC_ASSERT(chosen.size() - chosen.count(own) >= fallback);
        RC_ASSERT(chosen[own] == std::min(all[own], 12 - fallback));
    }));
}

TEST_CASE("SubsetSelector: a change of one server replaces at most two others")
{
    // Guards against a burst of new connections whenever a server is added, removed or replaced.
    CHECK(rc::check([] {
        const SubsetSelector selector(ServerName("me"), FailureDomainName("d0"));
        auto servers = arbitraryServers();
        const auto before = namesOf(selector.select(servers));
        const ServerView added = serverOf(1000, *rc::gen::inRange(0, 8));
        servers.push_back(added);
        auto after = namesOf(selector.select(servers));
        after.erase(added.name);
        std::vector<ServerName> replaced;
        std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                      std::back_inserter(replaced));
        RC_ASSERT(replaced.size() <= 2U);
    }));
}

TEST_CASE("SubsetSelector: daemons spread evenly over the servers")
{
    // Guards against a hash that gives every daemon the same subset.
    std::vector<ServerView> servers;
    for (int i = 0; i < 60; ++i) {
        servers.push_back(serverOf(i, 0));
    }
    std::map<ServerName, int> uses;
    for (int daemon = 0; daemon < 300; ++daemon) {
        const SubsetSelector selector(ServerName("w" + std::to_string(daemon)), FailureDomainName("d0"));
        for (const ServerView &server : selector.select(servers)) {
            ++uses[server.name];
        }
    }
    CHECK(uses.size() == servers.size());
    for (const auto &[name, count] : uses) {
        CHECK(count > 30);
        CHECK(count < 95);
    }
}
