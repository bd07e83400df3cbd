#ifndef HIBISCUS_ROUTING_SERVERSET_H
#define HIBISCUS_ROUTING_SERVERSET_H

#include "routing/serverview.h"

#include <map>
#include <vector>

namespace Hibiscus
{

/** Servers that an update changed. */
struct ServerSetChange {
    std::vector<ServerName> started; ///< New servers and those with a new incarnation.
    std::vector<ServerName> removed;
};

/** The servers of one service by name, as of the last update. */
class ServerSet
{
public:
    /** Replaces the content. Of several views with the same name the last one is used. */
    ServerSetChange update(const std::vector<ServerView> &views);

    /** View of a server; null if it is not in the set. */
    const ServerView *find(const ServerName &name) const;

    void setIncarnation(const ServerName &name, Incarnation incarnation);

    /** Servers that may get new work: those not draining, ordered by name. */
    std::vector<ServerView> usable() const;

private:
    std::map<ServerName, ServerView> servers_;
};

} // namespace Hibiscus

#endif
