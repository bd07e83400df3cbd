#ifndef HIBISCUS_ROUTING_SERVERVIEW_H
#define HIBISCUS_ROUTING_SERVERVIEW_H

#include "admission/level.h"
#include "core/ids.h"

#include <optional>

namespace Hibiscus
{

/** A backend server of one service as the directory shows it. */
struct ServerView {
    ServerName name;
    HostAddress address; ///< Peers listener of its daemon.
    Incarnation incarnation;
    FailureDomainName domain;
    bool draining = false;

    friend bool operator==(const ServerView &, const ServerView &) = default;
};

/** What the end of an attempt tells about the server. */
struct AttemptFeedback {
    std::optional<Level> level; ///< Hibiscus-Level: lowest level admitted by the server and the services below it.
    std::optional<int> headroom; ///< Hibiscus-Headroom
    bool responded = true; ///< The daemon answered, even with a refusal; false for a lost, silent or cancelled attempt.
};

} // namespace Hibiscus

#endif
