#include "admission/ratelimit.h"

#include <algorithm>

namespace Hibiscus
{

namespace
{

constexpr double kMillisPerSecond = 1000;
/** Requests of this time may start at once after a pause. */
constexpr Millis kBurst{250};

} // namespace

void RateLimit::name(RequestRate rate, TimePoint now)
{
    hasHeardServer_ = true;
    namedAt_ = now;
    if (named_ == rate) {
        return;
    }
    const double left = named_ ? tokens(now) : 0;
    named_ = rate;
    tokens_ = std::min(left, burst());
    tokensAt_ = now;
}

void RateLimit::nameNone(TimePoint sentAt)
{
    hasHeardServer_ = true;
    if (named_ && sentAt > namedAt_) {
        named_.reset();
    }
}

void RateLimit::hint(RequestRate rate, TimePoint now)
{
    if (hasHeardServer_) {
        return;
    }
    name(rate, now);
    hasHeardServer_ = false;
}

void RateLimit::serverReplaced()
{
    named_.reset();
    hasHeardServer_ = true;
}

bool RateLimit::canStart(TimePoint now) const
{
    return !named_ || tokens(now) >= 1;
}

void RateLimit::recordStart(TimePoint now)
{
    if (!named_) {
        return;
    }
    tokens_ = tokens(now) - 1;
    tokensAt_ = now;
}

double RateLimit::freeShare(TimePoint now) const
{
    return named_ ? std::clamp(tokens(now) / burst(), 0.0, 1.0) : 1;
}

double RateLimit::concurrency(Millis duration) const
{
    return perMillisecond() * duration.value;
}

Millis RateLimit::timeUntilStart(std::size_t queued, TimePoint now) const
{
    if (!named_) {
        return {};
    }
    return {std::max(0.0, static_cast<double>(queued + 1) - tokens(now)) / perMillisecond()};
}

double RateLimit::perMillisecond() const
{
    return std::max(*named_, kMinimum).perSecond / kMillisPerSecond;
}

double RateLimit::burst() const
{
    return std::max(1.0, perMillisecond() * kBurst.value);
}

double RateLimit::tokens(TimePoint now) const
{
    return std::min(burst(), tokens_ + (now - tokensAt_).value * perMillisecond());
}

} // namespace Hibiscus
