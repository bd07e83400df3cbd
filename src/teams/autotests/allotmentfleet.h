#ifndef HIBISCUS_TEAMS_AUTOTESTS_ALLOTMENTFLEET_H
#define HIBISCUS_TEAMS_AUTOTESTS_ALLOTMENTFLEET_H

#include "core/manualclock.h"
#include "teams/allotmentledger.h"
#include "teams/lenderchoice.h"
#include "teams/lentallotmentgate.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Hibiscus
{

/** Daemons that lend allotments to each other over a modelled network, in steps of 1 ms. */
class AllotmentFleet
{
public:
    static constexpr Millis kStep{1};
    static constexpr Millis kDelay{2}; ///< Of a message, on average.
    static constexpr Millis kTimeout{240}; ///< Of a report.
    static constexpr Millis kTick{50};

    /** What became of the requests of one team. */
    struct Tally {
        std::vector<double> admitted; ///< Times in ms.
        int refused = 0;
        int unknown = 0;
        double longestWait = 0; ///< In ms.
    };

    AllotmentFleet(std::size_t count, std::vector<Team> allTeams, std::uint64_t seed)
        : random(seed)
        , teams(std::move(allTeams))
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes_.push_back(std::make_unique<Node>());
            nodes_.back()->address = HostAddress("d" + std::to_string(i));
            nodes_.back()->index = i;
            start(*nodes_.back());
        }
        shareDirectory();
    }

    std::size_t size() const
    {
        return nodes_.size();
    }

    /** A request of a team arrives at a daemon. */
    void request(std::size_t daemon, const TeamName &team)
    {
        Node &node = *nodes_[daemon];
        if (node.isFrozen || !node.isRunning || !node.isListed) {
            return;
        }
        node.gate->admit(team, [this, team, since = clock.now()](const AllotmentDecision &decision) {
            Tally &tally = tallies[team];
            tally.longestWait = std::max(tally.longestWait, (clock.now() - since).value);
            if (!decision.refusal) {
                tally.admitted.push_back(clock.now().value);
            } else {
                ++(decision.refusal == ErrorKind::AllotmentUnknown ? tally.unknown : tally.refused);
            }
        });
    }

    /** Lets 1 ms pass. */
    void step()
    {
        clock.advance(kStep);
        while (!events_.empty() && events_.begin()->first <= clock.now().value) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            // Daemons tick at different times.
            const auto phase = static_cast<std::uint64_t>(clock.now().value) + i * 7;
            if (phase % static_cast<std::uint64_t>(kTick.value) == 0) {
                tick(i);
            }
        }
    }

    void run(Millis duration)
    {
        for (const TimePoint end = clock.now() + duration; clock.now() < end;) {
            step();
        }
    }

    /** From now on messages pass only between daemons of the same group. */
    void cut(const std::vector<int> &groups)
    {
        groups_ = groups;
    }
    /** From now on no message passes between two daemons, which both reach all others. */
    void cutPair(std::size_t a, std::size_t b)
    {
        cutPairs_.insert(std::minmax(a, b));
    }
    void heal()
    {
        groups_.clear();
        cutPairs_.clear();
        shareDirectory();
    }
    void setFrozen(std::size_t daemon, bool frozen)
    {
        Node &node = *nodes_[daemon];
        if (!node.isRunning || node.isFrozen == frozen) {
            return;
        }
        node.isFrozen = frozen;
        if (frozen) {
            return;
        }
        for (const auto &event : std::exchange(node.missed, {})) {
            event();
        }
        shareDirectory();
    }
    void kill(std::size_t daemon)
    {
        Node &node = *nodes_[daemon];
        node.isRunning = false;
        node.isFrozen = false;
        node.missed.clear();
        ++node.life;
    }
    void restart(std::size_t daemon)
    {
        kill(daemon);
        start(*nodes_[daemon]);
        shareDirectory();
    }
    void restartIfDead(std::size_t daemon)
    {
        if (!nodes_[daemon]->isRunning) {
            restart(daemon);
        }
    }
    /** The daemon gets no more requests, and its entry is removed from the directory, which all others learn; or put
     * back. */
    void setListed(std::size_t daemon, bool listed)
    {
        // A daemon that can't reach the store can't change its entry there.
        if (nodes_[daemon]->isFrozen || (!groups_.empty() && groups_[daemon] != 0)) {
            return;
        }
        nodes_[daemon]->isListed = listed;
        shareDirectory();
    }
    void setTeams(std::vector<Team> changed)
    {
        teams = std::move(changed);
        for (const auto &node : nodes_) {
            configure(*node);
        }
    }
    bool isLender(std::size_t daemon, const TeamName &team) const
    {
        return lenderOf(partitionOf(team), directory()) == nodes_[daemon]->address;
    }
    std::size_t lenderIndex(const TeamName &team) const
    {
        std::size_t index = 0;
        while (!isLender(index, team)) {
            ++index;
        }
        return index;
    }

    ManualClock clock;
    SeededRandom random;
    std::vector<Team> teams;
    std::map<TeamName, Tally> tallies;
    std::uint64_t messages = 0; ///< Reports that were sent to another daemon.
    double lossRate = 0; ///< Part of the messages that is lost.

private:
    struct Node {
        HostAddress address;
        Incarnation incarnation;
        std::size_t index = 0;
        std::unique_ptr<LentAllotmentGate> gate;
        std::unique_ptr<AllotmentLedger> ledger;
        LenderChoice choice;
        std::vector<std::function<void()>> missed; ///< What arrived while it was frozen.
        int life = 0;
        bool isRunning = false;
        bool isFrozen = false;
        bool isListed = true;
    };

    Daemons directory() const
    {
        Daemons daemons;
        for (const auto &node : nodes_) {
            if (node->isListed) {
                daemons[node->address] = node->incarnation;
            }
        }
        return daemons;
    }

    void start(Node &node)
    {
        node.incarnation = Incarnation(random.next());
        node.gate = std::make_unique<LentAllotmentGate>(
            AllotmentHolder(node.address, node.incarnation, clock, random), clock,
            [this, index = node.index](Partition partition, const AllotmentReport &report,
                                       const LentAllotmentGate::Reply &reply) {
                send(index, partition, report, reply);
            });
        node.ledger = std::make_unique<AllotmentLedger>(node.incarnation, clock);
        node.choice = {};
        node.isRunning = true;
        configure(node);
    }
    void configure(Node &node)
    {
        node.gate->setTeams(teams);
        node.ledger->setTeams(teams);
    }
    void shareDirectory()
    {
        const Daemons daemons = directory();
        for (const auto &node : nodes_) {
            // Group 0 is in touch with the store.
            if (node->isFrozen || (!groups_.empty() && groups_[node->index] != 0)) {
                continue;
            }
            node->ledger->setDaemons(daemons);
            node->choice.setDaemons(daemons);
            useLenders(*node);
        }
    }
    void useLenders(Node &node)
    {
        for (unsigned p = 0; p < kPartitions; ++p) {
            node.gate->setLender(Partition(p), node.choice.incarnation(Partition(p)));
        }
    }
    void recordContact(Node &node, const HostAddress &peer, bool answered)
    {
        if (answered) {
            node.choice.recordAnswer(peer, clock.now());
        } else {
            node.choice.recordFailure(peer, clock.now());
        }
        useLenders(node);
    }

    std::size_t indexOf(const HostAddress &address) const
    {
        std::size_t index = 0;
        while (nodes_[index]->address != address) {
            ++index;
        }
        return index;
    }
    bool passes(std::size_t from, std::size_t to)
    {
        const bool isCut =
            (!groups_.empty() && groups_[from] != groups_[to]) || cutPairs_.contains(std::minmax(from, to));
        return from == to || (!isCut && random.fraction() >= lossRate);
    }
    void after(Millis delay, std::function<void()> event)
    {
        events_.emplace((clock.now() + delay).value, std::move(event));
    }
    /** Runs @p event at a daemon, later if it is frozen, never if it has ended meanwhile. */
    void deliver(std::size_t daemon, Millis delay, std::function<void()> event)
    {
        after(delay, [this, daemon, life = nodes_[daemon]->life, event = std::move(event)] {
            Node &node = *nodes_[daemon];
            if (node.life != life || !node.isRunning) {
                return;
            }
            if (node.isFrozen) {
                node.missed.push_back(event);
                return;
            }
            event();
        });
    }

    void send(std::size_t daemon, Partition partition, const AllotmentReport &report,
              const LentAllotmentGate::Reply &reply)
    {
        const std::optional<HostAddress> address = nodes_[daemon]->choice.lender(partition);
        if (!address) {
            reply(std::nullopt);
            return;
        }
        const std::size_t lender = indexOf(*address);
        if (lender == daemon) {
            recordContact(*nodes_[daemon], *address, true);
            reply(nodes_[lender]->ledger->lend(partition, report));
            return;
        }
        ++messages;
        const auto once = [this, daemon, reply, address,
                           ended = std::make_shared<bool>(false)](const std::optional<AllotmentAnswer> &answer) {
            if (!std::exchange(*ended, true)) {
                reply(answer);
                recordContact(*nodes_[daemon], *address, answer.has_value());
            }
        };
        deliver(daemon, kTimeout, [once] { once(std::nullopt); });
        if (!passes(daemon, lender)) {
            return;
        }
        deliver(lender, delay(), [this, daemon, lender, partition, report, once, life = nodes_[daemon]->life] {
            const AllotmentAnswer answer = nodes_[lender]->ledger->lend(partition, report);
            if (passes(lender, daemon) && nodes_[daemon]->life == life) {
                deliver(daemon, delay(), [once, answer] { once(answer); });
            }
        });
    }
    /** Asks daemons that may lend whether they answer. */
    void probe(Node &node)
    {
        for (const HostAddress &target : node.choice.takeDueProbes(clock.now())) {
            const std::size_t index = indexOf(target);
            if (index == node.index) {
                recordContact(node, target, true);
                continue;
            }
            const auto once = [this, &node, target, ended = std::make_shared<bool>(false)](bool answered) {
                if (!std::exchange(*ended, true)) {
                    recordContact(node, target, answered);
                }
            };
            deliver(node.index, kTimeout, [once] { once(false); });
            if (!passes(node.index, index)) {
                continue;
            }
            deliver(index, delay(), [this, &node, index, once, life = node.life] {
                if (passes(index, node.index) && node.life == life) {
                    deliver(node.index, delay(), [once] { once(true); });
                }
            });
        }
    }
    Millis delay()
    {
        return {static_cast<double>(1 + random.below(static_cast<std::uint64_t>(2 * kDelay.value)))};
    }
    void tick(std::size_t daemon)
    {
        Node &node = *nodes_[daemon];
        if (node.isRunning && !node.isFrozen) {
            node.ledger->tick();
            node.gate->tick();
            probe(node);
        }
    }

    std::vector<std::unique_ptr<Node>> nodes_;
    std::multimap<double, std::function<void()>> events_;
    std::vector<int> groups_;
    std::set<std::pair<std::size_t, std::size_t>> cutPairs_;
};

/** Most requests that ran in any window of the rule, in excess of what the rule allows; at most 0 if it holds. */
inline double excess(std::vector<double> times, const Allotment &allotment)
{
    constexpr double kWindow = 5000;
    constexpr double kOverage = 1.1;
    constexpr double kSlack = 20;
    std::sort(times.begin(), times.end());
    const double allowed = (allotment.rate.perSecond * kWindow / 1000 + allotment.burst) * kOverage + kSlack;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= kWindow) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) - allowed;
}

} // namespace Hibiscus

#endif
