#ifndef HIBISCUS_ROUTING_DOMAINSPILL_H
#define HIBISCUS_ROUTING_DOMAINSPILL_H

namespace Hibiscus
{

/** Condition of the best server of a failure domain, as far as this daemon knows. */
struct ServerCondition {
    double busyShare = 0; ///< Share of its usable slots that is taken, from 0 to 1; 0 if it isn't known.
    double slowdown = 1; ///< Its own service time as a multiple of the usual one.
    double failingShare = 0; ///< Share of the requests that it fails by itself, from 0 to 1.
};

/**
 * Share of the requests that leave the own failure domain, from 0 to 1, if its best server is in the condition @p own
 * and that of the other domains in the condition @p other.
 *
 * Answers a load that one domain can't carry: its servers are short of slots, also after a start, are slow or fail.
 * While they are sound and have room, requests stay, as a hop to another domain costs time and traffic. What leaves
 * grows with what is lacking, so that the daemons of a domain neither leave nor return all at once, and a few requests
 * always stay with a slow or failing server, so that its recovery is noticed. If all domains are short, requests stay
 * as well.
 */
double otherDomainShare(const ServerCondition &own, const ServerCondition &other);

} // namespace Hibiscus

#endif
