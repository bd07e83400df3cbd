#ifndef HIBISCUS_ROUTING_USABLESHARE_H
#define HIBISCUS_ROUTING_USABLESHARE_H

#include "core/millis.h"

#include <optional>

namespace Hibiscus
{

/**
 * What a daemon that sends knows of the share of its slots that a server may use.
 *
 * Answers the load of many daemons that learn of a new server at once. The daemon beside it finds the share
 * (StartupPace) and its responses tell the limit and the share that fails. Until the first response a daemon sends one
 * request at a time. A reported share is taken to double within kDoubling, since no response tells a daemon that sends
 * rarely that it has risen.
 */
class UsableShare
{
public:
    static constexpr Millis kDoubling{500};
    /** Share of a server that was sent a request and has yet to respond for the first time. */
    static constexpr double kWhileProbed = 1.0 / 32;

    /** The daemon beside the server responded; @p limit and @p failingShare as it reported, if it did. */
    void report(std::optional<int> limit, double failingShare, TimePoint now);

    bool isKnown() const;

    /** Limit as last reported. */
    std::optional<int> limit() const;

    /** Share, above 0 and up to 1, of @p slots (0 if unknown); @p inFlight requests of this daemon are there. */
    double value(int slots, int inFlight, TimePoint now) const;

private:
    bool isKnown_ = false;
    std::optional<int> limit_;
    double goodShare_ = 1;
    TimePoint reportedAt_;
};

} // namespace Hibiscus

#endif
