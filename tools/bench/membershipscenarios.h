#ifndef HIBISCUS_BENCH_MEMBERSHIPSCENARIOS_H
#define HIBISCUS_BENCH_MEMBERSHIPSCENARIOS_H

#include "bench/controlmodel.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Hibiscus
{

struct ScenarioSettings {
    FleetSize size;
    MessageOverhead overhead;
    std::uint64_t seed = 1;
    int seconds = 60; ///< Length of a measured window without an event of its own.
    double changeInterval = 43200; ///< Milliseconds between two configuration changes: 2,000 a day.
    int rack = 25; ///< Processes in a rack.
    int outageSeconds = 60;
};

/** Events of a deployment, each measured on a model of its own. */
class MembershipScenarios
{
public:
    MembershipScenarios(ScenarioSettings settings, std::ostream &out);

    static std::vector<std::string> names();
    /** Runs one scenario; false if there is none of that name. */
    bool run(const std::string &name);

private:
    using Select = std::function<bool(const ControlModel::Member &)>;

    /** Starts all processes and waits until all are fresh under the latest version and have been so for 20 s. */
    void settle(ControlModel &model);
    /** Runs until @p done, at most @p limitSeconds; gives the milliseconds that passed, or -1. */
    double runUntil(ControlModel &model, const std::function<bool()> &done, double limitSeconds);
    void reportAdoption(ControlModel &model, const std::string &title, std::size_t processes, std::size_t domains);

    void idle();
    void oneChange();
    void changes();
    void headroom();
    void entries();
    void loss(const std::string &title, const Select &lost);
    void coldStart();
    void domainCut();
    void regionCut();
    void platformOutage();
    void memory();

    ScenarioSettings settings_;
    std::ostream &out_;
};

} // namespace Hibiscus

#endif
