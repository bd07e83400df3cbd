#ifndef HIBISCUS_CTL_CONFIRMATIONS_H
#define HIBISCUS_CTL_CONFIRMATIONS_H

#include "config/inventory.h"
#include "core/ids.h"
#include "ctl/waiting.h"
#include "platform/objectstore.h"

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Hibiscus
{

/** Version up to which a failure domain has confirmed the configuration. */
struct DomainConfirmation {
    FailureDomainName domain;
    std::optional<ConfigVersion> version; ///< Empty if it has confirmed none or the platform doesn't answer.
};

/** Reads the objects `confirm/<domain>` that the domain agents write. */
class Confirmations
{
public:
    Confirmations(ObjectStore &store, const Inventory &inventory);

    /** One look at all domains that have not confirmed @p version so far. Returns false if the platform doesn't
     * answer. */
    bool look(ConfigVersion version);
    /** Waits until all domains have confirmed @p version or the deadline has passed, with progress lines. */
    void wait(ConfigVersion version, TimePoint deadline, const Waiting &waiting);

    const std::vector<DomainConfirmation> &domains() const
    {
        return domains_;
    }
    /** Names of the domains that have not confirmed @p version. */
    std::vector<std::string> missing(ConfigVersion version) const;
    /** State of each domain, for programs. */
    nlohmann::json details() const;

private:
    ObjectStore &store_;
    std::vector<DomainConfirmation> domains_;
};

/** Names separated by commas. */
std::string joinNames(const std::vector<std::string> &names);

} // namespace Hibiscus

#endif
