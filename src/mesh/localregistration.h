#ifndef HIBISCUS_MESH_LOCALREGISTRATION_H
#define HIBISCUS_MESH_LOCALREGISTRATION_H

#include "directory/localserver.h"
#include "directory/serverregistration.h"
#include "mesh/meshsettings.h"

#include <cstdint>
#include <optional>

namespace Hibiscus
{

/** What this daemon registers of the backend server beside it. */
class LocalRegistration
{
public:
    /** @p settings and @p server must outlive the object. */
    LocalRegistration(const MeshSettings &settings, const LocalServer &server, Incarnation incarnation);

    /** Registration of the present server; empty if there is none. @p isDetached if it gets no new work. */
    std::optional<ServerRegistration> present(bool isDetached) const;

    /** Says that the server @p name has left. */
    ServerRegistration left(const ServerName &name, std::int64_t serverStartedAt) const;

    /** Logs the state of the present server. */
    void log() const;

private:
    const MeshSettings &settings_;
    const LocalServer &server_;
    Incarnation incarnation_;
    std::int64_t startedAt_; ///< Of this process, in Unix milliseconds.
};

} // namespace Hibiscus

#endif
