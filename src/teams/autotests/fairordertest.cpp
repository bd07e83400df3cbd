#include "teams/fairorder.h"

#include "admission/admissionlevel.h"
#include "core/randomsource.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <vector>

#include <doctest/doctest.h>

using namespace Hibiscus;

namespace
{

constexpr int kTeams = 86;
constexpr double kSkew = 1.2;
constexpr double kAllotmentOfUsual = 1.6; ///< Allotment of a team as a multiple of its usual rate.
constexpr double kUsualPerWindow = 400; ///< Requests of all teams in a measurement window.
constexpr int kWindows = 1200; ///< 2 min
constexpr int kSettledAfter = 200; ///< Windows until the level has settled.

/** Bucket of a request, from its hash and the share of its allotment that its team uses. */
using Order = std::function<int(std::uint64_t hash, double usedShare)>;

int hashOrder(std::uint64_t hash, double /*usedShare*/)
{
    return fairBucket(hash, 1);
}

/** What callers ask of a server with room for @p room times the usual requests, and what they get. */
struct Play {
    Play(Order bucketOf, double room)
        : order(std::move(bucketOf))
        , capacity(room * kUsualPerWindow)
    {
        for (int k = 1; k <= kTeams; ++k) {
            usual.push_back(std::pow(k, -kSkew));
        }
        const double sum = std::accumulate(usual.begin(), usual.end(), 0.0);
        for (double &rate : usual) {
            rate *= kUsualPerWindow / sum;
        }
    }

    /** Teams ask @p multiples of their usual rate, of which their allotments let pass what they may have. */
    void run(const std::vector<double> &multiples)
    {
        SeededRandom random(20261205);
        AdmissionLevel level(1);
        std::vector<int> served(kTeams);
        double queue = 0;
        int total = 0;
        for (int window = 0; window < kWindows; ++window) {
            double admitted = 0;
            std::vector<int> admittedOf(kTeams);
            for (int team = 0; team < kTeams; ++team) {
                const double rate = usual[team] * std::min(multiples[team], kAllotmentOfUsual);
                const double used = std::min(1.0, multiples[team] / kAllotmentOfUsual);
                const int arrivals = static_cast<int>(rate + random.fraction());
                for (int i = 0; i < arrivals; ++i) {
                    const double known = random.fraction() < unknownShare ? 1 : used;
                    const Level request{order(random.next(), known)};
                    level.recordArrival(request);
                    admittedOf[team] += level.admits(request) ? 1 : 0;
                }
                admitted += admittedOf[team];
            }
            // The queue holds a tenth of a window; what doesn't fit is refused, whoever sent it.
            const double fits = std::min(1.0, (capacity * 1.1 - queue) / std::max(admitted, 1.0));
            const double completed = std::min(capacity, queue + admitted * fits);
            queue += admitted * fits - completed;
            ClassLoad load{queue * 100, static_cast<int>(admitted), completed / 10, fits < 1};
            level.closeWindow({kAdmissionWindow,
                               static_cast<int>(completed),
                               static_cast<std::size_t>(queue),
                               static_cast<int>(capacity / 10),
                               {load}});
            if (window < kSettledAfter) {
                continue;
            }
            total += static_cast<int>(completed);
            for (int team = 0; team < kTeams; ++team) {
                served[team] += static_cast<int>(admittedOf[team] * fits + random.fraction());
            }
        }
        const double windows = kWindows - kSettledAfter;
        usedRoom = total / windows / capacity;
        servedOfUsual.clear();
        for (int team = 0; team < kTeams; ++team) {
            servedOfUsual.push_back(served[team] / windows / usual[team]);
        }
    }

    /** What the worst tenth of the teams without @p hot get, as a share of their usual rate. */
    double worstTenth(const std::vector<int> &hot) const
    {
        std::vector<double> shares;
        for (int team = 0; team < kTeams; ++team) {
            if (std::find(hot.begin(), hot.end(), team) == hot.end()) {
                shares.push_back(servedOfUsual[team]);
            }
        }
        std::sort(shares.begin(), shares.end());
        const auto tenth = static_cast<std::ptrdiff_t>(shares.size() / 10);
        return std::accumulate(shares.begin(), shares.begin() + tenth, 0.0) / static_cast<double>(tenth);
    }

    Order order;
    double capacity; ///< Requests in a measurement window.
    double unknownShare = 0; ///< Share of the requests whose daemon doesn't know what their team uses.
    std::vector<double> usual; ///< Requests in a measurement window, by team.
    std::vector<double> servedOfUsual; ///< By team.
    double usedRoom = 0; ///< Share of the capacity that was used.
};

std::vector<double> multiplesOf(double multiple, const std::vector<int> &hot)
{
    std::vector<double> multiples(kTeams, 1);
    for (const int team : hot) {
        multiples[team] = multiple;
    }
    return multiples;
}

constexpr double kRoom = 0.7;
constexpr double kTolerance = 0.05;

} // namespace

TEST_CASE("fairBucket: in a shortage, teams far above their usual don't push the others below what they had")
{
    // Guards against a hot team whose refusals are paid for by all others, while room is used up either way.
    Play calm(fairBucket, kRoom);
    calm.run(multiplesOf(1, {}));
    const std::vector<int> largest{0};
    const std::vector<int> three{0, 4, 39};
    for (const auto &load : {std::pair(6.4, largest), std::pair(4.5, three)}) {
        const double multiple = load.first;
        const std::vector<int> &hot = load.second;
        CAPTURE(hot.size());
        Play fair(fairBucket, kRoom);
        fair.run(multiplesOf(multiple, hot));
        Play byHash(hashOrder, kRoom);
        byHash.run(multiplesOf(multiple, hot));
        MESSAGE("worst tenth of the others: fair ", fair.worstTenth(hot), ", by hash ", byHash.worstTenth(hot),
                ", calm ", calm.worstTenth({}), "; hot: fair ", fair.servedOfUsual[0], ", by hash ",
                byHash.servedOfUsual[0], "; room used: fair ", fair.usedRoom, ", by hash ", byHash.usedRoom);
        CHECK(fair.worstTenth(hot) >= calm.worstTenth({}) - kTolerance);
        CHECK(fair.worstTenth(hot) > byHash.worstTenth(hot) + kTolerance);
        // The hot team has no more of its allotment than the others have, and no less.
        CHECK(fair.servedOfUsual[0] == doctest::Approx(kRoom).epsilon(2 * kTolerance));
        CHECK(fair.usedRoom > byHash.usedRoom - kTolerance);
        CHECK(fair.usedRoom > 1 - 2 * kTolerance);
    }
}

TEST_CASE(
    "fairBucket: teams that all ask for their whole allotment share the room, and spare room is used by any of them")
{
    // Guards against an order that refuses some teams altogether, and against one that keeps room free.
    Play shortage(fairBucket, kRoom);
    shortage.run(multiplesOf(1.7, [] {
        std::vector<int> all(kTeams);
        std::iota(all.begin(), all.end(), 0);
        return all;
    }()));
    CHECK(shortage.worstTenth({}) > kRoom - 2 * kTolerance);
    CHECK(shortage.usedRoom > 1 - 2 * kTolerance);
    // All requests fall into a fifth of the buckets.
    Play littleUsed(fairBucket, kRoom * 0.3);
    littleUsed.run(std::vector<double>(kTeams, 0.3));
    MESSAGE("little used: worst tenth ", littleUsed.worstTenth({}), ", room used ", littleUsed.usedRoom);
    CHECK(littleUsed.worstTenth({}) > 0.3 * (kRoom - 2 * kTolerance));
    CHECK(littleUsed.usedRoom > 1 - 2 * kTolerance);
    Play ample(fairBucket, 1.3);
    ample.run(multiplesOf(6.4, {0}));
    CHECK(ample.servedOfUsual[0] > kAllotmentOfUsual - kTolerance);
    CHECK(ample.worstTenth({0}) > 1 - kTolerance);
}

TEST_CASE("fairBucket: where half of the daemons don't know what teams use, no team gets less than by hash")
{
    // Guards against teams that are refused since their daemons can't reach the one that counts their requests.
    Play byHash(hashOrder, kRoom);
    byHash.run(multiplesOf(6.4, {0}));
    Play fair(fairBucket, kRoom);
    fair.unknownShare = 0.5;
    fair.run(multiplesOf(6.4, {0}));
    CHECK(fair.worstTenth({0}) > byHash.worstTenth({0}) - kTolerance);
    CHECK(fair.usedRoom > 1 - 2 * kTolerance);
}
