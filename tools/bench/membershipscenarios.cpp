#include "bench/membershipscenarios.h"

#include "bench/costwindow.h"

#include <map>

#include <malloc.h>

namespace Hibiscus
{

namespace
{

constexpr double kStepMillis = 20;
constexpr int kSettledSeconds = 10;
constexpr int kSettleLimitSeconds = 120;

bool inFirstDomain(const ControlModel &model, const ControlModel::Member &member)
{
    return member.domain == model.members.front()->domain;
}

/** Every second domain belongs to the second region, as in sampleConfiguration(). */
bool inSecondRegion(const ControlModel::Member &member)
{
    return (member.domain.value().back() - 'a') % 2 == 1;
}

} // namespace

MembershipScenarios::MembershipScenarios(ScenarioSettings settings, std::ostream &out)
    : settings_(settings)
    , out_(out)
{
}

std::vector<std::string> MembershipScenarios::names()
{
    return {"idle",       "change",      "changes",    "headroom",   "entries",    "rack-loss",       "domain-loss",
            "agent-loss", "agents-loss", "cold-start", "domain-cut", "region-cut", "platform-outage", "memory"};
}

bool MembershipScenarios::run(const std::string &name)
{
    const auto firstDomain = [](const ControlModel::Member &member) { return member.domain.value().back() == 'a'; };
    const std::map<std::string, std::function<void()>> scenarios{
        {"idle", [this] { idle(); }},
        {"change", [this] { oneChange(); }},
        {"changes", [this] { changes(); }},
        {"headroom", [this] { headroom(); }},
        {"entries", [this] { entries(); }},
        {"rack-loss",
         [this] {
             loss("rack lost", [this](const ControlModel::Member &member) {
                 return member.index < static_cast<std::size_t>(settings_.rack);
             });
         }},
        {"domain-loss", [this, firstDomain] { loss("failure domain lost", firstDomain); }},
        {"agents-loss",
         [this] { loss("agents lost", [](const ControlModel::Member &member) { return member.agent->isAgent(); }); }},
        {"agent-loss",
         [this, firstDomain] {
             loss("agent of one domain lost", [firstDomain](const ControlModel::Member &member) {
                 return firstDomain(member) && member.agent->isAgent();
             });
         }},
        {"cold-start", [this] { coldStart(); }},
        {"domain-cut", [this] { domainCut(); }},
        {"region-cut", [this] { regionCut(); }},
        {"platform-outage", [this] { platformOutage(); }},
        {"memory", [this] { memory(); }},
    };
    const auto found = scenarios.find(name);
    if (found == scenarios.end()) {
        return false;
    }
    found->second();
    return true;
}

double MembershipScenarios::runUntil(ControlModel &model, const std::function<bool()> &done, double limitSeconds)
{
    const double start = model.now();
    while (!done()) {
        if (model.now() - start > limitSeconds * 1000) {
            return -1;
        }
        model.run(kStepMillis);
    }
    return model.now() - start;
}

void MembershipScenarios::settle(ControlModel &model)
{
    for (std::size_t i = 0; i < model.members.size(); ++i) {
        model.start(i);
    }
    const double time = runUntil(
        model, [&model] { return model.current() == model.members.size(); }, kSettleLimitSeconds);
    if (time < 0) {
        out_ << "  NOT SETTLED: " << model.current() << " of " << model.members.size() << " current after "
             << kSettleLimitSeconds << " s\n";
    }
    model.run(kSettledSeconds * 1000);
}

void MembershipScenarios::reportAdoption(ControlModel &model, const std::string &title, std::size_t processes,
                                         std::size_t domains)
{
    const double adopted = runUntil(
        model, [&] { return model.current() >= processes; }, kSettleLimitSeconds);
    const double confirmed = runUntil(
        model, [&] { return model.confirmed() >= domains; }, kSettleLimitSeconds);
    out_ << "  " << title << ": " << processes << " processes have adopted after " << adopted << " ms; " << domains
         << " domains have confirmed " << (confirmed < 0 || adopted < 0 ? -1 : adopted + confirmed)
         << " ms after the write (-1: not in " << kSettleLimitSeconds << " s); configuration "
         << model.configurationBytes() << " B\n";
}

void MembershipScenarios::idle()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    CostWindow window(model);
    window.run(settings_.seconds);
    window.print(out_, "idle");
}

void MembershipScenarios::oneChange()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    CostWindow window(model);
    model.changeConfiguration();
    // The windows of one second start with the change, so that the peak is that of the spread.
    window.run(5);
    window.print(out_, "one change, first seconds");
    model.run(static_cast<double>(kSettledSeconds) * 1000);
    model.changeConfiguration();
    reportAdoption(model, "second change", model.members.size(), static_cast<std::size_t>(settings_.size.domains));
}

void MembershipScenarios::changes()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    CostWindow window(model);
    const int interval = static_cast<int>(settings_.changeInterval / 1000);
    for (int done = 0; done < settings_.seconds; done += interval) {
        model.changeConfiguration();
        window.run(interval);
    }
    window.print(out_, "one change each " + std::to_string(interval) + " s");
}

void MembershipScenarios::headroom()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    CostWindow window(model);
    // kHeadroomInterval lets one change a minute through; the processes take turns.
    for (int second = 0; second < settings_.seconds; ++second) {
        for (std::size_t i = 0; i < model.members.size(); ++i) {
            const auto phase = static_cast<int>(i % 60);
            if (second % 60 == phase) {
                model.setHeadroom(i, (second / 60) % 2 == 0 ? 100 : 10);
            }
        }
        window.run(1);
    }
    window.print(out_, "headroom of every process halves or doubles once a minute");
}

void MembershipScenarios::entries()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    CostWindow window(model);
    for (int second = 0; second < settings_.seconds; ++second) {
        const auto index = static_cast<std::size_t>(second) % model.members.size();
        model.publish(index, {"crash", std::to_string(second), std::string(200, 'x'), 1});
        window.run(1);
    }
    window.print(out_, "one crash report of 200 B a second");
}

void MembershipScenarios::loss(const std::string &title, const Select &lost)
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    std::vector<std::size_t> stopped;
    for (const auto &member : model.members) {
        if (lost(*member)) {
            stopped.push_back(member->index);
        }
    }
    CostWindow during(model);
    for (const std::size_t index : stopped) {
        model.stop(index);
    }
    std::size_t least = model.members.size();
    std::size_t without = 0;
    for (int second = 0; second < settings_.outageSeconds; ++second) {
        during.run(1);
        least = std::min(least, model.fresh());
        without += model.alive() - model.fresh();
    }
    during.print(out_, title + ": " + std::to_string(stopped.size()) + " processes stopped");
    out_ << "  fewest processes with a lease, by second: " << least << " of " << model.alive()
         << " running; process-seconds without a lease: " << without << '\n';
    model.changeConfiguration();
    model.run(static_cast<double>(kSettledSeconds) * 1000);
    CostWindow after(model);
    for (const std::size_t index : stopped) {
        model.start(index);
    }
    const double start = model.now();
    double back = -1;
    for (int second = 0; second < 20; ++second) {
        after.run(1);
        if (back < 0 && model.current() == model.members.size()) {
            back = model.now() - start;
        }
    }
    after.print(out_, title + ": back together, one version behind");
    out_ << "  all fresh and current " << back << " ms after the start (to the second; -1: not in 20 s)\n";
}

void MembershipScenarios::coldStart()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    CostWindow window(model);
    for (std::size_t i = 0; i < model.members.size(); ++i) {
        model.start(i);
    }
    double back = -1;
    for (int second = 0; second < 40; ++second) {
        window.run(1);
        if (back < 0 && model.current() == model.members.size()) {
            back = model.now();
        }
    }
    window.print(out_, "all processes start together");
    out_ << "  all fresh and current " << back << " ms after the start (to the second; -1: not in 40 s)\n";
}

void MembershipScenarios::domainCut()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    for (const auto &member : model.members) {
        if (inFirstDomain(model, *member)) {
            member->island = 1;
            member->platformCut = true;
        }
    }
    model.run(10000);
    model.changeConfiguration();
    const auto cut = static_cast<std::size_t>(settings_.size.serversPerDomain);
    reportAdoption(model, "domain cut off, others", model.members.size() - cut,
                   static_cast<std::size_t>(settings_.size.domains) - 1);
    CostWindow window(model);
    window.run(settings_.outageSeconds);
    window.print(out_, "one domain cut off from the others and the platform, after the change");
    out_ << "  with a lease: " << model.fresh() << " of " << model.members.size() << '\n';
    for (const auto &member : model.members) {
        member->island = 0;
        member->platformCut = false;
    }
    CostWindow after(model);
    after.run(2);
    after.print(out_, "domain rejoins, first seconds");
    reportAdoption(model, "domain rejoined, 2 s and", model.members.size(),
                   static_cast<std::size_t>(settings_.size.domains));
}

void MembershipScenarios::regionCut()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    for (const auto &member : model.members) {
        if (inSecondRegion(*member)) {
            member->island = 1;
            member->platformCut = true;
        }
    }
    // 130 restarts a day are 5.4 an hour. Of an hour's changes only the last text is fetched at the rejoin.
    constexpr int kRestarts = 6;
    constexpr std::size_t kStride = 7;
    CostWindow window(model);
    for (int restart = 0; restart < kRestarts; ++restart) {
        model.changeConfiguration();
        const std::size_t index = (static_cast<std::size_t>(restart) + 1) * kStride % model.members.size();
        model.stop(index);
        model.start(index);
        window.run(3);
    }
    window.run(kSettledSeconds);
    window.print(out_, "regions cut, one of them off the platform, 6 changes and 6 restarts");
    out_ << "  with a lease: " << model.fresh() << " of " << model.members.size() << '\n';
    for (const auto &member : model.members) {
        member->island = 0;
        member->platformCut = false;
    }
    CostWindow after(model);
    const double start = model.now();
    double back = -1;
    for (int second = 0; second < 20; ++second) {
        after.run(1);
        if (back < 0 && model.current() == model.members.size()) {
            back = model.now() - start;
        }
    }
    after.print(out_, "regions rejoin");
    out_ << "  all fresh and current " << back << " ms after the rejoin (to the second; -1: not in 20 s)\n";
}

void MembershipScenarios::platformOutage()
{
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    model.platform.setDown(true);
    CostWindow during(model);
    std::size_t least = model.members.size();
    for (int second = 0; second < settings_.outageSeconds; ++second) {
        during.run(1);
        least = std::min(least, model.fresh());
    }
    during.print(out_, "platform down");
    out_ << "  fewest processes with a lease, by second: " << least << " of " << model.members.size() << '\n';
    model.platform.setDown(false);
    model.changeConfiguration();
    CostWindow after(model);
    after.run(20);
    after.print(out_, "platform back with a change");
    out_ << "  fresh and current: " << model.current() << " of " << model.members.size() << '\n';
}

void MembershipScenarios::memory()
{
    const auto inUse = [] {
        malloc_trim(0);
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const std::size_t before = inUse();
    ControlModel model(settings_.size, settings_.overhead, settings_.seed);
    settle(model);
    const std::size_t settled = inUse();
    out_ << "memory: " << (settled - before) / model.members.size()
         << " B of heap per process with its share of messages in flight; configuration " << model.configurationBytes()
         << " B, " << model.members.size() << " records in each table\n";
}

} // namespace Hibiscus
