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
/** Other failure domains with at least one server in the subset, so that a fall-back is left if two domains fail. */
inline constexpr std::size_t kFallbackDomains = 3;

/**
 * Selects the servers that one daemon sends to, by rendezvous hashing: each daemon ranks the servers differently, and
 * the addition or removal of one server replaces few others.
 */
class SubsetSelector
{
public:
    /** @p self seeds the ranking of this daemon; @p domain is the daemon's own failure domain. */
    SubsetSelector(const ServerName &self, FailureDomainName domain);

    /**
     * Selects at most kSubsetSize of @p servers: one from each of up to kFallbackDomains other domains, then those of
     * the own domain, then the highest-ranked of other domains. @p servers must have distinct names.
     */
    std::vector<ServerView> select(const std::vector<ServerView> &servers) const;

private:
    std::uint64_t seed_;
    FailureDomainName domain_;
};

} // namespace Hibiscus

#endif
