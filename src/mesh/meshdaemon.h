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
 * One daemon that serves routes beside a backend server that registers itself.
 *
 * Everything but the store's calls runs on the thread that calls run(): the hosts have less than one core.
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

    /** Serves until SIGTERM or SIGINT, and then until the requests in progress have ended. */
    void run();

    /** Begins to leave, as at SIGTERM. Callable from any thread. */
    void drain();

    /** Ends run() at once, as a kill would end the process. Callable from any thread. */
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Hibiscus

#endif
