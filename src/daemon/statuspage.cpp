#include "daemon/statuspage.h"

#include "core/jsondocument.h"
#include <nlohmann/json.hpp>

namespace Hibiscus
{

namespace
{

/** Version of the current configuration; 0 if there is none. */
std::uint64_t configurationVersion(const SharedTables &tables)
{
    const ConfigurationPtr configuration = tables.configuration.current();
    return configuration ? configuration->version.value() : 0;
}

nlohmann::json admissionSection(const AdmissionController &admission)
{
    nlohmann::json section{{"limit", admission.limit()},
                           {"running", admission.running()},
                           {"queued", admission.queued()},
                           {"level", admission.level().value},
                           {"headroom", admission.headroom()}};
    if (const std::optional<RequestRate> &rate = admission.rateLimit().value()) {
        section["rateLimit"] = rate->perSecond;
    }
    return section;
}

} // namespace

std::string formatStatusPage(const StatusSources &sources)
{
    nlohmann::json page{{"server", sources.self.server.value()},
                        {"domain", sources.self.domain.value()},
                        {"incarnation", sources.self.incarnation.value()},
                        {"configVersion", configurationVersion(sources.tables)},
                        {"draining", sources.draining},
                        {"serverHealthy", sources.serverHealthy},
                        {"inFlight", sources.inFlight}};
    page["admission"] =
        sources.tables.admission.with([](const AdmissionController &admission) { return admissionSection(admission); });
    page["quarantined"] = nlohmann::json::array();
    for (const Signature &signature :
         sources.tables.crashes.with([](const CrashLedger &crashes) { return crashes.quarantined(); })) {
        page["quarantined"].push_back(signature.value());
    }
    page["records"] = {
        {"identities", sources.tables.arbiter.with([](const Arbiter &arbiter) { return arbiter.recordCount(); })},
        {"attempts",
         sources.tables.attempts.with([](const AttemptTable &attempts) { return attempts.recordCount(); })}};
    for (const auto &[service, count] :
         sources.routing.with([](const RoutingTable &routing) { return routing.serverCounts(); })) {
        page["serversInUse"][service.value()] = count;
    }
    return writeJson(page);
}

} // namespace Hibiscus
