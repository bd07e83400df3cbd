#ifndef HIBISCUS_CORE_ATTEMPTLIMIT_H
#define HIBISCUS_CORE_ATTEMPTLIMIT_H

namespace Hibiscus
{

/** Limit on the attempts of one user action, over all hops, child calls, retries and resends. */
constexpr int kAttemptsPerUserAction = 64;

} // namespace Hibiscus

#endif
