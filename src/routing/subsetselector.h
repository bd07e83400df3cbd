#ifndef HIBISCUS_ROUTING_SUBSETSELECTOR_H
#define HIBISCUS_ROUTING_SUBSETSELECTOR_H

#include "routing/serverview.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Hibiscus
{

/** Servers per service that one daemon keeps connections to. */
inline constexpr std::size_t kSubsetSize = 12;
/** Other failure domains that keep a place in the subset, so that the loss of two domains leaves a fall-back. */
inline constexpr std::size_t kFallbackDomains = 3;

/**
 * Selects the servers that one daemon sends to, by rendezvous hashing: each daemon ranks the servers differently, and
 * a change of one server moves few others.
 */
class SubsetSelector
{
public:
    /** @p self distinguishes the daemons; @p domain is the daemon's own failure domain. */
    SubsetSelector(const ServerName &self, FailureDomainName domain);

    /**
     * At most kSubsetSize of @p servers: one place for each of up to kFallbackDomains other domains, then the own
     * domain, then whatever ranks highest elsewhere. @p servers must have distinct names.
     */
    std::vector<ServerView> select(const std::vector<ServerView> &servers) const;

private:
    std::uint64_t seed_;
    FailureDomainName domain_;
};

} // namespace Hibiscus

#endif
