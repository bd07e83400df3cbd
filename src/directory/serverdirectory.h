#ifndef HIBISCUS_DIRECTORY_SERVERDIRECTORY_H
#define HIBISCUS_DIRECTORY_SERVERDIRECTORY_H

#include "core/storerevision.h"
#include "directory/serverprocesses.h"
#include "directory/serverregistration.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Hibiscus
{

/** Registration with the store revision at which it was last changed. */
struct DirectoryEntry {
    ServerRegistration registration;
    StoreRevision revision{};
};

/**
 * The backend servers of the deployment that this process knows of, merged from the store and from other daemons. The
 * change with the higher revision wins, so the order and the number of deliveries don't matter. A server process that
 * drains or has left remains so, whichever of its registrations arrives later. Entries of those that have left stay
 * until they are removed.
 */
class ServerDirectory
{
public:
    /** Applies a registration; false if the known one has this or a later revision, or if a later removal is known. */
    bool apply(const ServerRegistration &registration, StoreRevision revision);

    /**
     * Applies a registration that comes directly from the daemon of the server, while the store may be unreachable. It
     * is valid until the store has a later change. False if it is not newer than what is known.
     */
    bool applyDirect(const ServerRegistration &received);

    /** Applies a removal; false if the known registration has this or a later revision, if a later removal is known, or
     * if the server is unknown. */
    bool remove(const ServerName &name, StoreRevision revision);

    /**
     * Replaces all entries by a full listing of the store at @p revision. Later changes are kept, and so are entries of
     * earlier eras, which their daemons write again if the store has lost them. Listed entries that had been removed in
     * an earlier era stay removed, until the store reports a change of them.
     */
    void replace(const std::vector<DirectoryEntry> &entries, StoreRevision revision);

    /** Records that a server process drains, whatever its registration says; true if its entry changed. */
    bool markDraining(const ServerName &name, std::int64_t startedAt);

    /** Removes the entries that the store has not confirmed in the era @p era; true if there were any. */
    bool removeUnconfirmed(std::uint64_t era);

    const DirectoryEntry *find(const ServerName &name) const;
    const std::map<ServerName, DirectoryEntry> &entries() const
    {
        return entries_;
    }

private:
    /** Leaving processes that are remembered; entries of older ones are no longer expected to arrive. */
    static constexpr std::size_t kMaximumLeavingServers = 1024;

    bool isNewer(const ServerName &name, StoreRevision revision) const;

    std::map<ServerName, DirectoryEntry> entries_;
    /** Removal of a server, remembered so that a delayed or older copy of its registration can't undo it. */
    struct Removal {
        StoreRevision revision;
        Incarnation incarnation; ///< Of the daemon that had written the registration; 0 if that isn't known.
    };

    bool isFormer(const DirectoryEntry &listed) const;
    ServerRegistration withKnownState(ServerRegistration registration);

    ServerProcesses processes_{kMaximumLeavingServers}; ///< That drain or have left.
    std::map<ServerName, Removal> removed_;
};

} // namespace Hibiscus

#endif
