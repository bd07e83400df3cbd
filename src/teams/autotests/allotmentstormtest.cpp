#include "allotmentfleet.h"

#include <cstdlib>
#include <string>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kDaemons = 8;
constexpr int kEvents = 30;
const TeamName kTeam("pine");
constexpr Allotment kAllotment{RequestRate{200}, 20};

/**
 * A team that sends several times its allotment all the time, most of it at a few daemons, while daemons and messages
 * between them fail in series.
 */
class Storm
{
public:
    explicit Storm(std::uint64_t seed)
        : fleet_(kDaemons, {{kTeam, {}, 0, kAllotment}}, seed)
    {
        fleet_.run(Millis{2000});
    }

    /** Most requests in any window in excess of the rule. */
    double play()
    {
        for (int i = 0; i < kEvents; ++i) {
            strike();
            press(Millis{static_cast<double>(below(5000))});
        }
        return excess(fleet_.tallies[kTeam].admitted, kAllotment);
    }
    const std::string &events() const
    {
        return events_;
    }

private:
    unsigned below(unsigned count)
    {
        return static_cast<unsigned>(fleet_.random.below(count));
    }
    void note(const std::string &event)
    {
        events_ += std::to_string(static_cast<int>(fleet_.clock.now().value)) + " " + event + "; ";
    }

    void strike()
    {
        const std::size_t daemon = below(kDaemons);
        const std::string name = std::to_string(daemon);
        switch (below(15)) {
        case 0:
        case 1:
            cut();
            break;
        case 2:
            note("heal");
            fleet_.heal();
            break;
        case 3:
            note("kill " + name);
            fleet_.kill(daemon);
            break;
        case 4:
            note("restart " + name);
            fleet_.restart(daemon);
            break;
        case 5:
            restartMany();
            break;
        case 6:
            note("freeze " + name);
            fleet_.setFrozen(daemon, true);
            break;
        case 7:
            note("wake " + name);
            fleet_.setFrozen(daemon, false);
            break;
        case 8:
            note("list or not " + name);
            fleet_.setListed(daemon, below(3) > 0);
            break;
        case 9: {
            const std::size_t other = below(kDaemons);
            note("cut between " + name + " and " + std::to_string(other));
            fleet_.cutPair(daemon, other);
            break;
        }
        case 10:
        case 11:
        case 12:
            cut();
            restartPart();
            break;
        case 13:
            restartPart();
            break;
        default:
            fleet_.lossRate = 0.1 * below(4);
            busy_ = below(kDaemons);
            note("loss " + std::to_string(fleet_.lossRate) + ", busy " + std::to_string(busy_));
        }
    }
    void cut()
    {
        std::vector<int> groups;
        std::string text;
        const unsigned parts = 2 + below(2);
        for (std::size_t i = 0; i < kDaemons; ++i) {
            groups.push_back(static_cast<int>(below(parts)));
            text += std::to_string(groups.back());
        }
        note("cut " + text);
        groups_ = groups;
        fleet_.cut(groups);
    }
    /** Restarts all daemons of one part of the last cut. */
    void restartPart()
    {
        const int part = static_cast<int>(below(2));
        for (std::size_t i = 0; i < groups_.size(); ++i) {
            if (groups_[i] == part) {
                note("restart " + std::to_string(i));
                fleet_.restart(i);
            }
        }
    }
    void restartMany()
    {
        const unsigned chance = 1 + below(4);
        for (std::size_t i = 0; i < kDaemons; ++i) {
            if (below(4) < chance) {
                note("restart " + std::to_string(i));
                fleet_.restart(i);
            }
        }
    }
    void press(Millis duration)
    {
        constexpr double kPerMilli = 1;
        constexpr double kBusyPart = 0.7;
        for (const TimePoint end = fleet_.clock.now() + duration; fleet_.clock.now() < end; fleet_.step()) {
            if (fleet_.random.fraction() < kPerMilli) {
                fleet_.request(fleet_.random.fraction() < kBusyPart ? busy_ : below(kDaemons), kTeam);
            }
        }
    }

    AllotmentFleet fleet_;
    std::vector<int> groups_; ///< Of the last cut.
    std::size_t busy_ = 0;
    std::string events_;
};

/** Number of seeds to play: the variable STORM_SEEDS, or few enough for CI. */
int seeds()
{
    constexpr int kSeedsInCi = 40;
    const char *text = std::getenv("STORM_SEEDS");
    return text == nullptr ? kSeedsInCi : std::atoi(text);
}

} // namespace

TEST_CASE("Allotments: a team that presses all the time runs no more than the rule allows, whatever fails in series")
{
    // Guards against any series of cuts, kills, freezes and changes in which two lenders lend the same part.
    double worst = -1e9;
    for (int seed = 1; seed <= seeds(); ++seed) {
        Storm storm(static_cast<std::uint64_t>(seed));
        const double excess = storm.play();
        worst = std::max(worst, excess);
        CAPTURE(seed);
        CAPTURE(storm.events());
        CHECK(excess <= 0);
    }
    MESSAGE("most over the rule " << worst);
}
