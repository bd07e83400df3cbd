#ifndef HIBISCUS_MESH_ADOPTEDCONFIGURATION_H
#define HIBISCUS_MESH_ADOPTEDCONFIGURATION_H

#include "config/routetable.h"
#include "core/storerevision.h"
#include "mesh/configurationdecoder.h"

#include <string>

namespace Hibiscus
{

/** The configuration that is in force in this process. */
class AdoptedConfiguration
{
public:
    /** @p decoder must outlive the object. */
    explicit AdoptedConfiguration(const ConfigurationDecoder &decoder);

    /**
     * Takes a configuration in its stored form; false if it is invalid or not later than the one in force. A
     * configuration has a version of its own, which outlasts the histories of the store. One of the version in force is
     * taken if it was written after the store had lost that.
     */
    bool adopt(const std::string &value, StoreHistory history);

    /** Null until one was adopted. */
    const RouteTablePtr &routes() const
    {
        return routes_;
    }

private:
    const ConfigurationDecoder &decoder_;
    RouteTablePtr routes_;
};

} // namespace Hibiscus

#endif
