#ifndef HIBISCUS_EXECUTION_REQUESTIDENTITY_H
#define HIBISCUS_EXECUTION_REQUESTIDENTITY_H

#include "core/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

/** Idempotency key of a user action. It names the process whose arbiter decides on the executions under it. */
struct RequestIdentity {
    HostAddress arbiter; ///< Address of the arbiter's peers listener.
    Incarnation incarnation; ///< Incarnation of the arbiter's process.
    std::uint64_t sequence = 0; ///< Counts from 1 in each incarnation.

    friend auto operator<=>(const RequestIdentity &, const RequestIdentity &) = default;
};

/** Value of the Hibiscus-Request-Id header: "<address>/<incarnation, 16 hex digits>/<sequence, decimal>". */
std::string formatRequestIdentity(const RequestIdentity &identity);

/** Parses a Hibiscus-Request-Id header; empty unless @p text is exactly what formatRequestIdentity() returns. */
std::optional<RequestIdentity> parseRequestIdentity(std::string_view text);

} // namespace Hibiscus

#endif
