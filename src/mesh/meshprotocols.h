#ifndef HIBISCUS_MESH_MESHPROTOCOLS_H
#define HIBISCUS_MESH_MESHPROTOCOLS_H

#include "daemon/backendprotocol.h"
#include "mesh/callerprotocol.h"
#include "mesh/checkinprotocol.h"
#include "mesh/configurationdecoder.h"
#include "platform/objectstore.h"

#include <memory>

namespace Hibiscus
{

/** The parts of a mesh daemon that depend on the platform on which it runs. */
struct MeshProtocols {
    std::unique_ptr<CallerProtocol> callers;
    std::unique_ptr<BackendProtocol> backend;
    std::unique_ptr<CheckInProtocol> checkIns;
    std::unique_ptr<ConfigurationDecoder> configuration;
    std::unique_ptr<ObjectStore> store;
};

} // namespace Hibiscus

#endif
