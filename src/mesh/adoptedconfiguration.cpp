#include "mesh/adoptedconfiguration.h"

#include "core/logevent.h"

namespace Hibiscus
{

AdoptedConfiguration::AdoptedConfiguration(const ConfigurationDecoder &decoder)
    : decoder_(decoder)
{
}

bool AdoptedConfiguration::adopt(const std::string &value, StoreHistory history)
{
    auto decoded = decoder_.decode(value);
    if (!decoded) {
        logEvent(LogEvent::ConfigurationRejected, decoded.error());
        return false;
    }
    if (routes_) {
        const ConfigVersion inForce = routes_->configuration().version;
        const bool replacesLost = decoded->version == inForce && history == StoreHistory::Later;
        if (decoded->version <= inForce && !replacesLost) {
            return false;
        }
    }
    routes_ = std::make_shared<const RouteTable>(std::move(*decoded));
    const RouteConfiguration &configuration = routes_->configuration();
    logEvent(LogEvent::ConfigurationAdopted,
             "version " + std::to_string(configuration.version.value()) + " with "
                 + std::to_string(configuration.routes.size()) + " routes");
    return true;
}

} // namespace Hibiscus
