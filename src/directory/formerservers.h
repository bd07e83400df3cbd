#ifndef HIBISCUS_DIRECTORY_FORMERSERVERS_H
#define HIBISCUS_DIRECTORY_FORMERSERVERS_H

#include "core/clock.h"
#include "directory/serverdirectory.h"

#include <map>
#include <vector>

namespace Hibiscus
{

/**
 * Entries of servers that have left, as one daemon sees them. It keeps those of the servers beside it, and decides when
 * it removes which from the store.
 *
 * An entry lasts as long as anything of its process may arrive. Then the daemon beside the server removes it. Its host
 * may be gone for good, so the other daemons do so later, one after the other in an order that differs from server to
 * server: no two act at the same time, and none has to do it all.
 */
class FormerServers
{
public:
    /** Time after which nothing of a server process that has left can arrive any more. */
    static constexpr Millis kLifetime{60000};

    /** @p self is the peers listener of this daemon. */
    FormerServers(HostAddress self, const Clock &clock);

    /** Remembers a former server of this daemon; true if it or this process of it was not known. */
    bool remember(const ServerRegistration &left);

    /** A later process of that name runs beside this daemon. */
    void forget(const ServerName &name);

    /** Former servers of this daemon, as long as their entries last. */
    const std::map<ServerName, ServerRegistration> &own() const;

    /** Returns the entries of @p directory that this daemon has to remove now. One that stays is returned again later.
     */
    std::vector<ServerRegistration> takeExpired(const ServerDirectory &directory);

private:
    /** Number of lifetimes after which this daemon removes an entry. */
    std::size_t turnOf(const ServerRegistration &left, const ServerDirectory &directory) const;

    HostAddress self_;
    const Clock &clock_;
    std::map<ServerName, ServerRegistration> own_;
    std::map<ServerName, TimePoint> since_; ///< When this daemon saw first that a server has left.
};

} // namespace Hibiscus

#endif
