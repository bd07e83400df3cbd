#ifndef HIBISCUS_CORE_REQUESTRATE_H
#define HIBISCUS_CORE_REQUESTRATE_H

#include <compare>

namespace Hibiscus
{

/** Requests a second. */
struct RequestRate {
    double perSecond = 0;

    friend constexpr auto operator<=>(RequestRate, RequestRate) = default;
};

} // namespace Hibiscus

#endif
