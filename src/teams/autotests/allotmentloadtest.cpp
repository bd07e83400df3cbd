#include "allotmentfleet.h"

#include <cmath>
#include <random>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kTeams = 86;
constexpr std::size_t kDaemons = 87;
constexpr double kRequestsPerSecond = 1500;
constexpr double kAllotted = 1.6; ///< Times the usual rate.

/** Usual requests a second of each team; their sizes are skewed. */
std::vector<double> usualRates()
{
    std::vector<double> rates;
    double sum = 0;
    for (std::size_t k = 1; k <= kTeams; ++k) {
        rates.push_back(std::pow(static_cast<double>(k), -1.2));
        sum += rates.back();
    }
    for (double &rate : rates) {
        rate *= kRequestsPerSecond / sum;
    }
    return rates;
}

std::vector<Team> makeTeams()
{
    std::vector<Team> teams;
    for (const double rate : usualRates()) {
        const TeamName name("team-" + std::to_string(teams.size()));
        teams.push_back({name, {}, 0, {RequestRate{rate * kAllotted}, rate * kAllotted}});
    }
    return teams;
}

/** The allotments as one place would spend them that sees all requests. */
class IdealBuckets
{
public:
    bool take(std::size_t team, const Allotment &allotment, TimePoint now)
    {
        const auto [found, isNew] = buckets_.try_emplace(team, Bucket{allotment.burst, now});
        Bucket &bucket = found->second;
        const double seconds = (now - bucket.at).value / 1000;
        bucket = {std::min(allotment.burst, bucket.tokens + seconds * allotment.rate.perSecond), now};
        const bool taken = bucket.tokens >= 1;
        bucket.tokens -= taken ? 1 : 0;
        return taken;
    }

private:
    struct Bucket {
        double tokens = 0;
        TimePoint at;
    };
    std::map<std::size_t, Bucket> buckets_;
};

/** Sends requests of all teams at random daemons, as many as each team's usual times its factor. */
class Load
{
public:
    explicit Load(AllotmentFleet &fleet)
        : fleet_(fleet)
    {
    }
    void run(Millis duration)
    {
        const std::vector<double> rates = usualRates();
        for (const TimePoint end = fleet_.clock.now() + duration; fleet_.clock.now() < end; fleet_.step()) {
            for (std::size_t team = 0; team < kTeams; ++team) {
                const double factor = factors.contains(team) ? factors[team] : 1;
                std::poisson_distribution<int> arrivals(rates[team] * factor / 1000);
                for (int i = arrivals(engine_); i > 0; --i) {
                    ++sent[team];
                    owed[team] += ideal_.take(team, fleet_.teams[team].allotment, fleet_.clock.now()) ? 1 : 0;
                    fleet_.request(engine_() % fleet_.size(), fleet_.teams[team].name);
                }
            }
        }
    }
    std::map<std::size_t, double> factors;
    std::map<std::size_t, int> sent;
    std::map<std::size_t, int> owed; ///< Of those that were sent, within the allotment.

private:
    IdealBuckets ideal_;
    AllotmentFleet &fleet_;
    std::mt19937_64 engine_{20261205};
};

/** Sums over all teams but the hot one. */
struct Sums {
    double served = 0;
    double sent = 0;
    double worst = 1; ///< Served part of the team that gets the least.
    std::map<std::size_t, double> balance; ///< Served requests of each team beyond those owed.
    double owed = 0;
    double worstExcess = -1e9; ///< Of all teams.
    int unknown = 0;
    double longestWait = 0; ///< In ms.
};

Sums sumUp(AllotmentFleet &fleet, Load &load, std::size_t hot = kTeams)
{
    fleet.run(Millis{250}); // Until all requests are decided.
    Sums sums;
    for (std::size_t team = 0; team < kTeams; ++team) {
        const auto &tally = fleet.tallies[fleet.teams[team].name];
        sums.worstExcess = std::max(sums.worstExcess, excess(tally.admitted, fleet.teams[team].allotment));
        sums.longestWait = std::max(sums.longestWait, tally.longestWait);
        if (team == hot) {
            continue;
        }
        const auto served = static_cast<double>(tally.admitted.size());
        sums.served += served;
        sums.sent += load.sent[team];
        sums.owed += load.owed[team];
        sums.balance[team] = served - load.owed[team];
        sums.worst = std::min(sums.worst, load.sent[team] > 0 ? served / load.sent[team] : 1);
        sums.unknown += tally.unknown;
    }
    MESSAGE("served " << sums.served << " of " << sums.sent << ", worst team " << sums.worst << ", most over the rule "
                      << sums.worstExcess << ", unknown " << sums.unknown << ", reports " << fleet.messages);
    return sums;
}

/** Part of the requests owed between two sums that was not served, as if no team had got more than it was owed. */
double missedPart(const Sums &before, const Sums &after)
{
    double missed = 0;
    for (const auto &[team, balance] : after.balance) {
        const auto found = before.balance.find(team);
        missed += std::max(0.0, (found == before.balance.end() ? 0 : found->second) - balance);
    }
    return missed / (after.owed - before.owed);
}

constexpr std::size_t kHotTeam = 1;
constexpr double kHotFactor = 6.4;
constexpr Millis kLeadTime{2000}; ///< From the start of the daemons until requests arrive.

} // namespace

TEST_CASE("Allotments: 86 teams within their allotments are served at 87 daemons from the first request on")
{
    // Guards against tokens that lie unused at some daemons while others refuse.
    AllotmentFleet fleet(kDaemons, makeTeams(), 1);
    fleet.run(kLeadTime);
    const std::uint64_t before = fleet.messages;
    Load load(fleet);
    load.run(Millis{10000});
    const Sums sums = sumUp(fleet, load);
    CHECK(missedPart({}, sums) <= 0.001);
    CHECK(sums.worst >= 0.97);
    CHECK(sums.worstExcess <= 0);
    CHECK(sums.unknown == 0);
    CHECK(sums.longestWait <= 20);
    CHECK(static_cast<double>(fleet.messages - before) <= sums.sent);
}

TEST_CASE("Allotments: one team at 6.4 times its usual gets its allotment, and the others all they ask for")
{
    // Guards against a hot team that gets less than it may have since its refused requests count.
    AllotmentFleet fleet(kDaemons, makeTeams(), 2);
    fleet.run(kLeadTime);
    Load load(fleet);
    load.run(Millis{3000});
    load.factors[kHotTeam] = kHotFactor;
    const TeamName &hot = fleet.teams[kHotTeam].name;
    const std::size_t before = fleet.tallies[hot].admitted.size();
    load.run(Millis{7000});
    const auto served = static_cast<double>(fleet.tallies[hot].admitted.size() - before);
    CHECK(served >= 0.95 * 7 * fleet.teams[kHotTeam].allotment.rate.perSecond);
    const Sums sums = sumUp(fleet, load, kHotTeam);
    CHECK(missedPart({}, sums) <= 0.001);
    CHECK(sums.worstExcess <= 0);
}

TEST_CASE("Allotments: a third of the daemons that is cut off for 8 s serves on, and no team runs more than it may")
{
    // Guards against two sides of a cut that both spend the whole allotment, and against a side that spends none.
    AllotmentFleet fleet(kDaemons, makeTeams(), 3);
    fleet.run(kLeadTime);
    Load load(fleet);
    load.factors[kHotTeam] = kHotFactor;
    load.run(Millis{15000});
    const Sums calm = sumUp(fleet, load, kHotTeam);
    std::vector<int> groups;
    for (std::size_t i = 0; i < kDaemons; ++i) {
        groups.push_back(i % 3 == 0 ? 1 : 0);
    }
    fleet.cut(groups);
    load.run(Millis{8000});
    const Sums cut = sumUp(fleet, load, kHotTeam);
    fleet.heal();
    load.run(Millis{2000});
    const Sums healing = sumUp(fleet, load, kHotTeam);
    load.run(Millis{5000});
    const Sums healed = sumUp(fleet, load, kHotTeam);
    CHECK(missedPart(calm, cut) <= 0.1);
    CHECK(missedPart(healing, healed) <= 0.001);
    CHECK(healed.worstExcess <= 0);
    CHECK(healed.longestWait <= 250);
}

TEST_CASE("Allotments: when a lender is killed and comes back, most is served and no team runs more than it may")
{
    // Guards against a restarted lender that lends again what its predecessor had lent.
    AllotmentFleet fleet(kDaemons, makeTeams(), 4);
    fleet.run(kLeadTime);
    Load load(fleet);
    load.factors[kHotTeam] = kHotFactor;
    load.run(Millis{10000});
    const Sums calm = sumUp(fleet, load, kHotTeam);
    const std::size_t lender = fleet.lenderIndex(fleet.teams[kHotTeam].name);
    fleet.kill(lender);
    load.run(Millis{4000});
    fleet.restart(lender);
    load.run(Millis{2000});
    const Sums restarted = sumUp(fleet, load, kHotTeam);
    load.run(Millis{4000});
    const Sums later = sumUp(fleet, load, kHotTeam);
    CHECK(missedPart(calm, restarted) <= 0.1);
    CHECK(missedPart(restarted, later) <= 0.001);
    CHECK(later.worstExcess <= 0);
}
