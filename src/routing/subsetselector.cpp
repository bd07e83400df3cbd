#include "routing/subsetselector.h"

#include "core/contenthash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Hibiscus
{

namespace
{

struct Ranked {
    std::uint64_t domainHash;
    std::uint64_t serverHash;
    const ServerView *server;

    bool operator<(const Ranked &other) const
    {
        return std::tie(serverHash, server->name) < std::tie(other.serverHash, other.server->name);
    }
};

/** Moves the best server of each of the best domains to the front; returns how many. @p servers must be sorted. */
std::size_t putFallbackFirst(std::vector<Ranked> &servers)
{
    std::vector<Ranked> best;
    for (const Ranked &one : servers) {
        const auto sameDomain = [&one](const Ranked &other) { return other.server->domain == one.server->domain; };
        if (std::none_of(best.begin(), best.end(), sameDomain)) {
            best.push_back(one);
        }
    }
    std::sort(best.begin(), best.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.domainHash, a.server->domain) < std::tie(b.domainHash, b.server->domain);
    });
    best.resize(std::min(best.size(), kFallbackDomains));
    const auto isBest = [&best](const Ranked &one) {
        return std::any_of(best.begin(), best.end(), [&one](const Ranked &b) { return b.server == one.server; });
    };
    std::stable_partition(servers.begin(), servers.end(), isBest);
    return best.size();
}

} // namespace

SubsetSelector::SubsetSelector(const ServerName &self, FailureDomainName domain)
    : seed_(stableHash(self.value()))
    , domain_(std::move(domain))
{
}

std::vector<ServerView> SubsetSelector::select(const std::vector<ServerView> &servers) const
{
    std::vector<Ranked> near;
    std::vector<Ranked> far;
    for (const ServerView &server : servers) {
        (server.domain == domain_ ? near : far)
            .push_back({stableHash(server.domain.value(), seed_), stableHash(server.name.value(), seed_), &server});
    }
    std::sort(near.begin(), near.end());
    std::sort(far.begin(), far.end());
    const std::size_t fallback = putFallbackFirst(far);
    near.resize(std::min(near.size(), kSubsetSize - fallback));
    far.resize(std::min(far.size(), kSubsetSize - near.size()));

    std::vector<ServerView> subset;
    for (const std::vector<Ranked> *part : {&near, &far}) {
        for (const Ranked &one : *part) {
            subset.push_back(*one.server);
        }
    }
    return subset;
}

} // namespace Hibiscus
