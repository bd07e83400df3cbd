#ifndef HIBISCUS_MEMBERSHIP_POLLPLAN_H
#define HIBISCUS_MEMBERSHIP_POLLPLAN_H

#include "membership/controlmessages.h"

#include <vector>

namespace Hibiscus
{

/** Member to be polled in a round. */
struct PollCandidate {
    ServerName name;
    HostAddress address;
    bool responsive = false; ///< Responded lately; only such members relay.
};

struct PollTarget {
    RelayTarget member;
    std::vector<RelayTarget> relayTo;
};

/** Decides whom an agent polls itself and who relays to whom, so that each sends about sqrt(n) polls at most. */
class PollPlan
{
public:
    /** @p members without the agent itself, in hash order. */
    static std::vector<PollTarget> make(const std::vector<PollCandidate> &members);
};

} // namespace Hibiscus

#endif
