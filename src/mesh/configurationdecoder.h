#ifndef HIBISCUS_MESH_CONFIGURATIONDECODER_H
#define HIBISCUS_MESH_CONFIGURATIONDECODER_H

#include "config/routeconfiguration.h"

#include <string>

#include <tl/expected.hpp>

namespace Hibiscus
{

/** Parses the operator's route configuration, which the store holds. */
class ConfigurationDecoder
{
public:
    virtual ~ConfigurationDecoder() = default;

    /** Key of the object that holds the configuration, as "<kind>/<name>". */
    virtual std::string key() const = 0;

    /** Parses the text of the object. The error names the part of it that can't be parsed. */
    virtual tl::expected<RouteConfiguration, std::string> decode(const std::string &value) const = 0;
};

} // namespace Hibiscus

#endif
