#ifndef HIBISCUS_MESH_CALLERIDENTITY_H
#define HIBISCUS_MESH_CALLERIDENTITY_H

#include "config/routetable.h"
#include "daemon/callscopetable.h"
#include "daemon/guarded.h"
#include "mesh/callerprotocol.h"

namespace Hibiscus
{

/** Who makes a request. */
struct CallerIdentity {
    const Team *team = nullptr; ///< Owned by the route table; null without a team.
    bool isNested = false; ///< Made by the local backend server for a request of a deployment whose callers need keys.
};

/** Decides who makes a request, by the keys of the configuration in force. */
class CallerIdentifier
{
public:
    /** @p scopes must outlive the identifier. */
    explicit CallerIdentifier(Guarded<CallScopeTable> &scopes);

    /**
     * Identifies the caller of a request on @p route of @p routes.
     *
     * Calls that the local backend server makes belong to the request that it runs, and need no key. Errors:
     * UnknownCaller without a valid key on a route that isn't public; ParentUnknown without a key, for a request that
     * this daemon doesn't know, as after its restart.
     */
    Result<CallerIdentity> identify(const RouteTable &routes, const Route &route,
                                    const CallerRequestMetadata &metadata) const;

private:
    bool isNested(const CallerRequestMetadata &metadata) const;

    Guarded<CallScopeTable> &scopes_;
};

} // namespace Hibiscus

#endif
