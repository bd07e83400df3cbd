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

/** Promises that a result of the load program breaks; empty if it breaks none. */
std::vector<std::string> brokenPromises(const nlohmann::json &result);

/**
 * One run: load through all daemons while the faults of a seed come and go, then a calm load. Checks what callers were
 * told against what servers ran, and that the system recovers.
 */
class SoakRun
{
public:
    SoakRun(SoakPlaces places, std::uint64_t seed, Millis duration);

    /** What went wrong; empty if all promises held. */
    std::vector<std::string> run();

private:
    void wait(Millis duration);
    /** Lets time pass until @p isReached; false if that takes longer than @p limit. */
    bool waitUntil(Millis limit, const std::function<bool()> &isReached);
    bool applyRules();
    nlohmann::json load(Millis duration, std::uint64_t seed, const std::vector<Fault> &faults);
    void note(const std::string &text) const;

    SoakPlaces places_;
    std::uint64_t seed_;
    Millis duration_;
    asio::io_context context_;
    SoakDeployment deployment_;
};

} // namespace Hibiscus

#endif
