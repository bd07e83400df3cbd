#ifndef HIBISCUS_TEAMS_FAIRORDER_H
#define HIBISCUS_TEAMS_FAIRORDER_H

#include <cstdint>

namespace Hibiscus
{

/**
 * Bucket (see Level) of a request within its rank, where @p hash is uniform over the requests and @p usedShare is the
 * share of its allotment that the team uses, from 0 to 1.
 *
 * The load it answers: too little room for the requests of one rank, while some teams ask for much more of their
 * allotment than others. A daemon that admits the buckets from b on admits of each team at most the share
 * (128 - b) / 128 of its allotment: a team that asks for less is served in full, and one that asks for more gets no
 * more than others of its size. This is the max-min fair division, weighted by the allotments, without any daemon that
 * would have to know all teams.
 */
int fairBucket(std::uint64_t hash, double usedShare);

} // namespace Hibiscus

#endif
