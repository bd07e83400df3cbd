#include "allotmentfleet.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Hibiscus;

namespace
{

constexpr std::size_t kDaemons = 5;
constexpr double kWindow = 5000; ///< In ms, of the users' rule.
const std::vector<Team> kTeams{{TeamName("large"), {}, 0, {RequestRate{120}, 120}},
                               {TeamName("small"), {}, 0, {RequestRate{5}, 5}}};

/** Random operation; the system under test interprets the numbers, of which a, b and c are below 60. */
struct Operation {
    unsigned kind = 0;
    unsigned a = 0;
    unsigned b = 0;
    unsigned c = 0;
};

unsigned drawBelow(unsigned count)
{
    // The whole range from the first test on; RapidCheck would begin with small numbers, and so with few kinds.
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, count));
}

/** Checks random sequences of @p length operations, each on a new @p System. */
template<class System>
bool checkOperations(const std::string &description, unsigned length)
{
    return rc::check(description, [length] {
        System system;
        for (unsigned i = 0; i < length; ++i) {
            const Operation operation{drawBelow(System::kKinds), drawBelow(60), drawBelow(60), drawBelow(60)};
            RC_LOG() << operation.kind << '(' << operation.a << ", " << operation.b << ", " << operation.c << ") ";
            system.step(operation);
        }
    });
}

/** Daemons, and the allotments that were in force. */
class AllotmentSystem
{
public:
    static constexpr unsigned kKinds = 19; ///< Most of them send requests.

    AllotmentSystem()
        : fleet_(kDaemons, kTeams, 5)
    {
        remember();
        fleet_.run(Millis{2000});
    }

    void step(const Operation &operation)
    {
        const std::size_t daemon = operation.a % kDaemons;
        switch (operation.kind) {
        case 0:
            fleet_.cut(groups(operation.a));
            break;
        case 1:
            fleet_.heal();
            break;
        case 2:
            fleet_.kill(daemon);
            break;
        case 3:
            fleet_.restart(daemon);
            break;
        case 4:
            fleet_.setFrozen(daemon, operation.b % 2 == 0);
            break;
        case 5:
            changeAllotments(operation);
            break;
        case 6:
            fleet_.setListed(daemon, operation.b % 3 != 0);
            break;
        case 7:
            disturb(operation);
            break;
        case 8:
            fleet_.cutPair(daemon, operation.b % kDaemons);
            break;
        default:
            send(operation);
        }
        fleet_.run(Millis{static_cast<double>(operation.c)});
        checkRule();
    }

    /** All that is broken is mended; then uneven demand within the allotments must be served from the first on. */
    void checkCalm()
    {
        fleet_.lossRate = 0;
        fleet_.heal();
        for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
            fleet_.setFrozen(daemon, false);
            fleet_.setListed(daemon, true);
            fleet_.restartIfDead(daemon);
        }
        fleet_.run(Millis{8000});
        fleet_.tallies.clear();
        int sent = 0;
        for (int millis = 0; millis < 3000; ++millis, fleet_.step()) {
            // Most requests arrive at one daemon, which changes.
            const std::size_t daemon = millis % 4 == 0 ? fleet_.random.below(kDaemons) : (millis / 700) % kDaemons;
            for (const Team &team : fleet_.teams) {
                const double perMilli = 0.7 * team.allotment.rate.perSecond / 1000;
                const bool sends = static_cast<int>((millis + 1) * perMilli) > static_cast<int>(millis * perMilli);
                sent += sends ? 1 : 0;
                if (sends) {
                    fleet_.request(daemon, team.name);
                }
            }
        }
        fleet_.run(Millis{250});
        std::size_t served = 0;
        for (const auto &[team, tally] : fleet_.tallies) {
            served += tally.admitted.size();
        }
        RC_ASSERT(static_cast<int>(served) == sent);
    }

private:
    struct InForce {
        TimePoint since;
        std::vector<Team> teams;
    };

    void remember()
    {
        history_.push_back({fleet_.clock.now(), fleet_.teams});
    }

    /** Requests for up to 1.5 s, up to 6.4 times the allotments, at one daemon or many. */
    void send(const Operation &operation)
    {
        const double factor = 0.3 + operation.b / 60.0 * 6.1;
        const std::size_t spread = 1 + operation.a % kDaemons;
        for (unsigned millis = 0; millis < 25 * operation.c; ++millis, fleet_.step()) {
            for (const Team &team : fleet_.teams) {
                if (fleet_.random.fraction() < factor * team.allotment.rate.perSecond / 1000) {
                    fleet_.request((operation.b + fleet_.random.below(spread)) % kDaemons, team.name);
                }
            }
        }
    }

    static std::vector<int> groups(unsigned bits)
    {
        std::vector<int> result;
        for (std::size_t i = 0; i < kDaemons; ++i) {
            result.push_back(static_cast<int>((bits >> i) & 1U));
        }
        return result;
    }

    void changeAllotments(const Operation &operation)
    {
        std::vector<Team> teams = kTeams;
        for (Team &team : teams) {
            const double factor = 0.2 + operation.a % 10 * 0.2;
            team.allotment.rate.perSecond *= factor;
            team.allotment.burst *= factor;
        }
        fleet_.setTeams(teams);
        remember();
    }

    /** Messages are lost, or the hosts stand still for a time that their clocks count. */
    void disturb(const Operation &operation)
    {
        if (operation.a % 2 == 0) {
            fleet_.lossRate = operation.b % 4 * 0.1;
        } else {
            fleet_.clock.advance(Millis{operation.b * 100.0});
        }
    }

    /** Requests that the rule allows in the window that begins at @p start: a lower limit binds one window late. */
    double allowed(std::size_t team, double start) const
    {
        double most = 0;
        for (std::size_t i = 0; i < history_.size(); ++i) {
            const bool hasEnded = i + 1 < history_.size() && history_[i + 1].since.value < start - kWindow;
            if (hasEnded || history_[i].since.value > start + kWindow) {
                continue;
            }
            const Allotment &allotment = history_[i].teams[team].allotment;
            most = std::max(most, (allotment.rate.perSecond * kWindow / 1000 + allotment.burst) * 1.1 + 20);
        }
        return most;
    }

    void checkRule()
    {
        for (std::size_t team = 0; team < kTeams.size(); ++team) {
            std::vector<double> &times = fleet_.tallies[kTeams[team].name].admitted;
            std::sort(times.begin(), times.end());
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= kWindow) {
                    ++first;
                }
                const auto ran = static_cast<double>(last - first + 1);
                if (ran > allowed(team, times[first])) {
                    RC_FAIL(kTeams[team].name.value() + ": " + std::to_string(ran) + " of "
                            + std::to_string(allowed(team, times[first])) + " allowed");
                }
            }
            std::erase_if(times, [&](double time) { return time < fleet_.clock.now().value - 2 * kWindow; });
        }
    }

    AllotmentFleet fleet_;
    std::vector<InForce> history_;
};

/** The same, with a check at the end that calm daemons serve all within the allotments. */
class CalmedSystem : public AllotmentSystem
{
public:
    static constexpr unsigned kKinds = AllotmentSystem::kKinds + 1;

    void step(const Operation &operation)
    {
        if (operation.kind == AllotmentSystem::kKinds) {
            checkCalm();
            return;
        }
        AllotmentSystem::step(operation);
    }
};

} // namespace

TEST_CASE("Allotments: whatever is cut, killed, frozen, lost or changed, no team runs more than the rule allows")
{
    // Guards against any order of events in which two sides spend the same part of an allotment.
    CHECK(checkOperations<AllotmentSystem>("rule in any window", 80));
}

TEST_CASE("Allotments: after any disturbance, uneven demand within the allotments is served from the first request on")
{
    // Guards against shares or tokens that remain lost after a cut, a kill or a change.
    CHECK(checkOperations<CalmedSystem>("served when calm", 40));
}
