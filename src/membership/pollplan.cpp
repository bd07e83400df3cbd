#include "membership/pollplan.h"

#include "core/contenthash.h"
#include "membership/membershiplimits.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus
{

namespace
{

std::vector<PollTarget> pollDirectly(const std::vector<PollCandidate> &members)
{
    std::vector<PollTarget> targets;
    for (const PollCandidate &member : members) {
        targets.push_back({{member.name, member.address}, {}});
    }
    return targets;
}

/** Rendezvous hashing with bounded groups: when a relay fails, most members keep theirs and what it knows of them. */
PollTarget &preferredRelay(std::vector<PollTarget> &relays, const RelayTarget &member, std::size_t capacity)
{
    PollTarget *best = nullptr;
    std::uint64_t bestScore = 0;
    for (PollTarget &relay : relays) {
        const std::uint64_t score = stableHash(relay.member.name.value(), stableHash(member.name.value()));
        if (relay.relayTo.size() < capacity && (best == nullptr || score > bestScore)) {
            best = &relay;
            bestScore = score;
        }
    }
    return *best;
}

} // namespace

std::vector<PollTarget> PollPlan::make(const std::vector<PollCandidate> &members)
{
    // The agent itself is a member as well.
    if (members.size() + 1 <= kDirectPollLimit) {
        return pollDirectly(members);
    }
    const auto count = static_cast<double>(members.size());
    const auto wanted = static_cast<std::size_t>(std::ceil(kRelaysPerRoot * std::sqrt(count)));
    std::vector<PollTarget> relays;
    std::vector<RelayTarget> others;
    for (const PollCandidate &member : members) {
        if (member.responsive && relays.size() < wanted) {
            relays.push_back({{member.name, member.address}, {}});
        } else {
            others.push_back({member.name, member.address});
        }
    }
    if (relays.empty()) {
        return pollDirectly(members);
    }
    const std::size_t capacity = (others.size() + relays.size() - 1) / relays.size();
    for (const RelayTarget &other : others) {
        preferredRelay(relays, other, capacity).relayTo.push_back(other);
    }
    return relays;
}

} // namespace Hibiscus
