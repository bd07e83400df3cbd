#ifndef HIBISCUS_MEMBERSHIP_POLLROUNDS_H
#define HIBISCUS_MEMBERSHIP_POLLROUNDS_H

#include "membership/controlmessages.h"
#include "membership/ruleadoption.h"

#include <map>
#include <optional>
#include <vector>

namespace Hibiscus
{

/** Responses to the last rounds of an agent. */
class PollRounds
{
public:
    /**
     * Round numbers start at the random @p first, so that a late response to a round of a predecessor at the same
     * address is not taken for one of this process.
     */
    explicit PollRounds(std::uint64_t first);

    /** Starts the next round and returns its number. */
    std::uint64_t start(TimePoint now);

    std::uint64_t current() const;
    /** Empty when the round is not one of the last ones. */
    std::optional<TimePoint> sentAt(std::uint64_t round) const;

    /** Takes a response to @p round; returns whether it is the first of its sender. */
    bool add(std::uint64_t round, const AdoptionReport &report);
    const std::vector<AdoptionReport> &reports(std::uint64_t round) const;

private:
    struct Round {
        TimePoint sentAt;
        std::vector<AdoptionReport> reports;
    };

    std::uint64_t current_;
    std::map<std::uint64_t, Round> rounds_;
};

} // namespace Hibiscus

#endif
