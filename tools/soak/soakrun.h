#ifndef HIBISCUS_SOAK_SOAKRUN_H
#define HIBISCUS_SOAK_SOAKRUN_H

#include "soak/soakdeployment.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Hibiscus
{

/** Checks the result of the load program. Returns one text for each violated guarantee. */
std::vector<std::string> findViolations(const nlohmann::json &result);

/**
 * One run: a load through all daemons while the faults of a seed are injected, then a load without faults. Checks the
 * responses to callers against the executions of the servers, and that the system recovers.
 */
class SoakRun
{
public:
    SoakRun(SoakSettings settings, std::uint64_t seed, Millis duration);

    /** Returns one text for each violated guarantee or failed step; empty if the run passed. */
    std::vector<std::string> run();

private:
    void wait(Millis duration);
    /** Runs the deployment until @p condition holds; returns false if that takes longer than @p limit. */
    bool waitUntil(Millis limit, const std::function<bool()> &condition);
    bool applyRules();
    nlohmann::json load(Millis duration, std::uint64_t seed, const std::vector<Fault> &faults);
    /** Appends a line to faults.log. */
    void appendToFaultLog(const std::string &text) const;

    SoakSettings settings_;
    std::uint64_t seed_;
    Millis duration_;
    asio::io_context context_;
    SoakDeployment deployment_;
};

} // namespace Hibiscus

#endif
