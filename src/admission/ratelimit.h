#ifndef HIBISCUS_ADMISSION_RATELIMIT_H
#define HIBISCUS_ADMISSION_RATELIMIT_H

#include "core/millis.h"
#include "core/requestrate.h"

#include <cstddef>
#include <optional>

namespace Hibiscus
{

/**
 * Paces the requests that start at the local backend server while it names how many it takes a second from all hosts
 * together. Answers the load of a server in need that still has free slots. All requests for the server start here, so
 * the limit is not divided among daemons.
 *
 * The limit ends when the server names none in a response to a request that was sent after it last named one. Responses
 * that are late or out of order thus don't end it.
 */
class RateLimit
{
public:
    /** A server that takes fewer requests still gets this many, since only its responses tell when the limit ends. */
    static constexpr RequestRate kMinimum{0.5};

    /** The server named @p rate. */
    void name(RequestRate rate, TimePoint now);

    /** The server named no limit in the response to a request that was sent at @p sentAt. */
    void nameNone(TimePoint sentAt);

    /** Another daemon has heard @p rate from the server. Ignored once this process has heard from the server itself. */
    void hint(RequestRate rate, TimePoint now);

    /** Another process of the server has started; what is known, or hinted later, is about its predecessor. */
    void serverReplaced();

    /** Rate that the server named; empty if it takes any. */
    const std::optional<RequestRate> &value() const
    {
        return named_;
    }

    bool canStart(TimePoint now) const;
    void recordStart(TimePoint now);

    /** Unused share of the burst, from 0 to 1; 0 while more requests come than the server takes, 1 without a limit. */
    double freeShare(TimePoint now) const;

    /** Requests in progress at the named rate if each takes @p duration. Requires a limit. */
    double concurrency(Millis duration) const;

    /** Time until a request behind @p queued others can start. */
    Millis timeUntilStart(std::size_t queued, TimePoint now) const;

private:
    double perMillisecond() const;
    double burst() const;
    double tokens(TimePoint now) const;

    std::optional<RequestRate> named_;
    TimePoint namedAt_; ///< Time of the last response that named the limit.
    double tokens_ = 0; ///< At tokensAt_; one for each request that can start.
    TimePoint tokensAt_;
    bool hasHeardServer_ = false;
};

} // namespace Hibiscus

#endif
