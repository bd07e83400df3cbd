#ifndef HIBISCUS_ROUTING_SERVERVIEW_H
#define HIBISCUS_ROUTING_SERVERVIEW_H

#include "admission/level.h"
#include "core/ids.h"
#include "core/requestrate.h"

#include <cstdint>
#include <optional>

namespace Hibiscus
{

/** A backend server of one service as listed in the directory. */
struct ServerView {
    ServerName name;
    HostAddress address; ///< Peers listener of its daemon.
    Incarnation incarnation;
    FailureDomainName domain;
    bool draining = false;
    std::int64_t startedAt = 0; ///< Start of the server's process, which outlasts restarts of its daemon.
    int slots = 0; ///< Requests that it can run at a time; 0 if unknown.

    friend bool operator==(const ServerView &, const ServerView &) = default;
};

/** Load information about a server that the end of an attempt provides. */
struct AttemptFeedback {
    std::optional<Level> level; ///< Hibiscus-Level: lowest level admitted by the server and the services below it.
    std::optional<int> headroom; ///< Hibiscus-Headroom: requests that the server can run in addition.
    std::optional<int> limit{}; ///< Hibiscus-Limit: requests that the server can run at a time.
    std::optional<RequestRate> rateLimit{}; ///< Hibiscus-Rate-Limit: requests that the server takes; empty for any.
    bool serverResponded = false; ///< The server itself responded, so that its daemon knows of any limit.
    double slowdown = 1; ///< Hibiscus-Slowdown: own service time of the server as a multiple of the usual one.
    double failingShare = 0; ///< Hibiscus-Failing: share of the requests that the server fails by itself.
    /** The daemon responded, even with a refusal; false for an attempt that was lost, unanswered or cancelled. */
    bool responded = true;
};

} // namespace Hibiscus

#endif
