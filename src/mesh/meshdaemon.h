#ifndef HIBISCUS_MESH_MESHDAEMON_H
#define HIBISCUS_MESH_MESHDAEMON_H

#include "mesh/meshprotocols.h"
#include "mesh/meshsettings.h"

#include <memory>
#include <string>

#include <tl/expected.hpp>

namespace Hibiscus
{

/**
 * Daemon that serves routes beside a backend server that registers itself.
 *
 * Everything except the calls to the store runs on the thread that calls run(), since a host provides less than one CPU
 * core.
 */
class MeshDaemon
{
public:
    MeshDaemon(MeshSettings settings, MeshProtocols protocols);
    ~MeshDaemon();
    MeshDaemon(const MeshDaemon &) = delete;
    MeshDaemon &operator=(const MeshDaemon &) = delete;

    /** Opens the listeners. Returns the reason if one can't be opened. */
    tl::expected<void, std::string> start();

    /** Serves until SIGTERM or SIGINT, and then until the requests in progress have ended or the grace period is nearly
     * over. */
    void run();

    /** Starts draining, as SIGTERM does. Callable from any thread. */
    void drain();

    /** Ends run() at once, without draining. Callable from any thread. */
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
