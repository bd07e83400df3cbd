#ifndef HIBISCUS_ROUTING_PLACEMENTMODEL_H
#define HIBISCUS_ROUTING_PLACEMENTMODEL_H

#include "admission/ratelimit.h"
#include "core/manualclock.h"
#include "routing/balancer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Hibiscus
{

/** What the callers of one failure domain got. */
struct DomainResult {
    int sent = 0;
    int left = 0; ///< Requests that were sent to another domain.
    int refused = 0;
    double durationSum = 0; ///< In ms, including hops, of completed requests.

    double leftShare() const
    {
        return sent == 0 ? 0 : static_cast<double>(left) / sent;
    }
    double meanDuration() const
    {
        return sent == refused ? 0 : durationSum / (sent - refused);
    }
};

/** Usual mean service time, in ms. */
inline constexpr double kServiceTime = 20;

/** A server with a queue behind its daemon's gate. */
struct ModelServer {
    int slots = 20;
    double serviceTime = kServiceTime; ///< Mean, in ms.
    double failingShare = 0; ///< Of the requests that it has run.
    bool present = true;
    RateLimit rateLimit; ///< That the server names; its daemon reports it as AdmissionController does.
    int running = 0;
    std::size_t mostWaiting = 0; ///< Longest queue so far.
    std::deque<std::function<void()>> queue;
};

/**
 * Plays a load on one service with one server a failure domain and several daemons in each, all of which choose by
 * balancers of their own and learn of the servers only by responses. Poisson arrivals, exponential service times.
 */
class PlacementModel
{
public:
    static constexpr int kDomains = 4;
    static constexpr int kDaemonsPerDomain = 4;
    static constexpr double kHop = 1.4; ///< One way between domains, in ms.
    static constexpr std::size_t kMaximumQueue = 20;

    PlacementModel()
    {
        for (int i = 0; i < kDomains * kDaemonsPerDomain; ++i) {
            const BalancerSettings settings{ServerName("daemon" + std::to_string(i)), domainOf(i / kDaemonsPerDomain)};
            balancers.push_back(std::make_unique<Balancer>(settings, clock, random));
        }
        publish();
        clock.advance(kWarmUp);
    }

    /** Makes the current presence of the servers known to all daemons. */
    void publish()
    {
        std::vector<ServerView> views;
        for (int i = 0; i < kDomains; ++i) {
            if (servers.at(static_cast<std::size_t>(i)).present) {
                views.push_back({serverName(i), HostAddress(), Incarnation(1), domainOf(i), false});
            }
        }
        for (const auto &balancer : balancers) {
            balancer->update(views);
        }
    }

    /** Plays @p duration with the arrivals given for each domain, in requests a second, and returns its results. */
    std::vector<DomainResult> play(Millis duration, const std::vector<double> &arrivals)
    {
        results_.assign(kDomains, {});
        const double end = clock.now().value + duration.value;
        for (int i = 0; i < kDomains; ++i) {
            scheduleArrival(i, arrivals.at(static_cast<std::size_t>(i)), end);
        }
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            clock.advance(Millis{event.at - clock.now().value});
            event.run();
        }
        clock.advance(Millis{end - clock.now().value});
        return results_;
    }

    ManualClock clock;
    SeededRandom random{20261204};
    std::vector<ModelServer> servers{std::vector<ModelServer>(kDomains)};
    std::vector<std::unique_ptr<Balancer>> balancers;

private:
    struct Event {
        double at;
        std::uint64_t sequence;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    /** Longer than any knowledge of a server lasts. */
    static constexpr Millis kWarmUp{20000};

    static FailureDomainName domainOf(int domain)
    {
        return FailureDomainName("domain" + std::to_string(domain));
    }
    static ServerName serverName(int server)
    {
        return ServerName("s" + std::to_string(server));
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - random.fraction());
    }

    void after(double delay, std::function<void()> run)
    {
        events_.push({clock.now().value + delay, ++sequence_, std::move(run)});
    }

    void scheduleArrival(int domain, double perSecond, double end)
    {
        if (perSecond <= 0) {
            return;
        }
        after(exponential(1000 / perSecond), [this, domain, perSecond, end] {
            if (clock.now().value < end) {
                send(domain);
                scheduleArrival(domain, perSecond, end);
            }
        });
    }

    void send(int domain)
    {
        const auto daemon = static_cast<std::size_t>(domain * kDaemonsPerDomain)
            + static_cast<std::size_t>(random.below(kDaemonsPerDomain));
        DomainResult &result = results_.at(static_cast<std::size_t>(domain));
        ++result.sent;
        const auto picked = balancers.at(daemon)->pick({0}, {});
        if (!picked) {
            ++result.refused;
            return;
        }
        balancers.at(daemon)->started(*picked);
        const int server = picked->value().back() - '0';
        const double hop = server == domain ? 0 : kHop;
        result.left += server == domain ? 0 : 1;
        after(hop, [this, daemon, domain, server, hop, sentAt = clock.now().value] {
            arrive(server, [this, daemon, domain, server, hop, sentAt](bool isCompleted) {
                after(hop, [this, daemon, domain, server, sentAt, isCompleted] {
                    finish(daemon, domain, server, sentAt, isCompleted);
                });
            });
        });
    }

    void arrive(int index, std::function<void(bool)> done)
    {
        ModelServer &server = servers.at(static_cast<std::size_t>(index));
        if (!canStart(server) && server.queue.size() >= kMaximumQueue) {
            done(false);
            return;
        }
        server.queue.push_back([this, index, done = std::move(done)] {
            ModelServer &running = servers.at(static_cast<std::size_t>(index));
            ++running.running;
            running.rateLimit.recordStart(clock.now());
            after(exponential(running.serviceTime), [this, index, done] {
                ModelServer &ended = servers.at(static_cast<std::size_t>(index));
                --ended.running;
                startQueued(index);
                done(random.fraction() >= ended.failingShare);
            });
        });
        startQueued(index);
        server.mostWaiting = std::max(server.mostWaiting, server.queue.size());
    }

    bool canStart(const ModelServer &server) const
    {
        return server.running < server.slots && server.rateLimit.canStart(clock.now());
    }

    void startQueued(int index)
    {
        ModelServer &server = servers.at(static_cast<std::size_t>(index));
        while (!server.queue.empty() && canStart(server)) {
            const auto next = std::move(server.queue.front());
            server.queue.pop_front();
            next();
        }
        if (!server.queue.empty() && !server.rateLimit.canStart(clock.now())) {
            after(server.rateLimit.timeUntilStart(0, clock.now()).value + 1, [this, index] { startQueued(index); });
        }
    }

    void finish(std::size_t daemon, int domain, int index, double sentAt, bool isCompleted)
    {
        const ModelServer &server = servers.at(static_cast<std::size_t>(index));
        AttemptFeedback feedback;
        feedback.limit = server.slots;
        if (server.rateLimit.value()) {
            feedback.limit = static_cast<int>(std::ceil(server.rateLimit.concurrency({server.serviceTime})));
        }
        feedback.headroom = std::min(server.slots - server.running,
                                     static_cast<int>(*feedback.limit * server.rateLimit.freeShare(clock.now())));
        feedback.slowdown = server.serviceTime / kServiceTime;
        feedback.failingShare = server.failingShare;
        balancers.at(daemon)->finished(serverName(index), feedback);
        DomainResult &result = results_.at(static_cast<std::size_t>(domain));
        if (!isCompleted) {
            ++result.refused;
            return;
        }
        result.durationSum += clock.now().value - sentAt;
    }

    std::priority_queue<Event> events_;
    std::uint64_t sequence_ = 0;
    std::vector<DomainResult> results_;
};

} // namespace Hibiscus

#endif
