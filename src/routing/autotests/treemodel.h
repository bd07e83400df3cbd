#ifndef HIBISCUS_ROUTING_TREEMODEL_H
#define HIBISCUS_ROUTING_TREEMODEL_H

#include "admission/admissioncontroller.h"
#include "classresult.h"
#include "modelevents.h"
#include "routing/balancer.h"

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus
{

/**
 * Plays requests through three levels of services, each with servers of its own. Class 0 begins at the top and calls
 * the middle once, which calls the bottom kFanOut times in a row; class 1 is for the bottom alone; class 2 begins at
 * the middle. Daemons learn of load by responses only; each refused request comes back once.
 */
class TreeModel
{
public:
    static constexpr int kServices = 3;
    static constexpr std::uint64_t kSeed = 20261205;
    static constexpr int kClasses = 3;
    static constexpr int kFanOut = 4;
    static constexpr std::size_t kEntries = 24;

    /** What one daemon where requests begin knows and decides. */
    struct Entry {
        std::function<bool(int classRank, Level level)> admits;
        std::function<void(int classRank, Level subtreeLevel)> report;
    };

    explicit TreeModel(const std::function<Entry(const Clock &)> &makeEntry, std::uint64_t seed = kSeed)
        : random(seed)
    {
        addServers(0, std::vector<double>(12, 1.0), 58);
        addServers(1, std::vector<double>(6, 1.0), 80);
        addServers(kBottom, {0.7, 0.7, 1.6, 0.7, 0.7, 1.6}, 12);
        for (std::size_t i = 0; i < kEntries; ++i) {
            entries_.push_back({makeEntry(clock), makeBalancers("entry" + std::to_string(i))});
        }
        publish();
        clock.advance(kWarmUp);
    }

    /** Requests a second that the bottom can complete. */
    double capacity() const
    {
        double slots = 0;
        for (const Server &server : services_[kBottom]) {
            slots += server.isPresent ? kBottomSlots * server.speed : 0;
        }
        double work = 0;
        for (const Class &kind : kClass) {
            work += kind.share * (kind.service == kBottom ? kind.own : kNestedOwn[kBottom] * kFanOut).value;
        }
        return slots * 1000 / work;
    }

    /** Takes every second server of the bottom away. */
    void removeHalfOfBottom()
    {
        for (std::size_t i = 0; i < services_[kBottom].size(); i += 2) {
            services_[kBottom][i].isPresent = false;
        }
        publish();
    }

    /** Plays @p perSecond requests a second, which swing by the share @p swing in waves of 15 s. */
    void play(Millis duration, double perSecond, double swing = 0)
    {
        results = {};
        bottomCalls = bottomCallsOfServed = 0;
        end_ = clock.now() + duration;
        scheduleArrival(perSecond, swing);
        scheduleTick();
        events_.playUntil(end_ + kPatience);
    }

    /** Share of the calls that the bottom ran for requests that were not served. */
    double vainShare() const
    {
        return 1 - static_cast<double>(bottomCallsOfServed) / bottomCalls;
    }

    ManualClock clock;
    SeededRandom random;
    std::array<ClassResult, kClasses> results;
    int bottomCalls = 0, bottomCallsOfServed = 0;

private:
    using Balancers = std::vector<std::unique_ptr<Balancer>>;

    static constexpr std::size_t kBottom = 2;
    static constexpr int kBottomSlots = 12;
    static constexpr Millis kWarmUp{20000};
    static constexpr Millis kHop{1.4};
    static constexpr Millis kPatience{5000}; ///< Of callers.
    static constexpr Millis kReturn{300}; ///< Mean time after which a refused caller comes back.
    static constexpr std::array<Millis, kServices> kNestedOwn{{{0}, {15}, {30}}};
    static constexpr std::array<Millis, kServices> kNestedTimeout{{{0}, {800}, {700}}};

    struct Class {
        std::size_t service; ///< Where its requests begin.
        Millis own; ///< Mean own service time there.
        Millis timeout;
        double share; ///< Of all requests.
    };
    static constexpr std::array<Class, kClasses> kClass{
        {{0, {100}, {800}, 0.55}, {kBottom, {40}, {800}, 0.15}, {1, {140}, {1000}, 0.30}}};

    struct Server {
        std::unique_ptr<AdmissionController> controller;
        Balancers balancers; ///< Of its daemon.
        double speed = 1;
        bool isPresent = true;
    };
    struct EntryDaemon {
        Entry entry;
        Balancers balancers;
    };
    struct Root {
        int classRank;
        int bucket;
        bool isReturn;
        int bottomCalls = 0;
    };
    struct Reply {
        bool isOk = false;
        bool isNotRun = false;
        int level = 0; ///< Highest that the call and those below it met.
    };
    using Done = std::function<void(Reply)>;
    struct Call {
        std::size_t service;
        std::shared_ptr<Root> root;
        TimePoint deadline;
        Millis own; ///< Mean.
        bool isNested;
        Done done;
    };
    struct Job {
        Call call;
        std::size_t server;
        TimePoint started{};
        TimePoint waitingSince{};
    };

    void addServers(std::size_t service, const std::vector<double> &speeds, int slots)
    {
        for (const double speed : speeds) {
            const std::string name = std::to_string(service) + "-" + std::to_string(services_[service].size());
            services_[service].push_back(
                {std::make_unique<AdmissionController>(AdmissionSettings{slots, kClasses}, clock), makeBalancers(name),
                 speed, true});
        }
    }

    Balancers makeBalancers(const std::string &name)
    {
        Balancers balancers;
        for (int i = 0; i < kServices; ++i) {
            const BalancerSettings settings{ServerName(name), FailureDomainName("domain")};
            balancers.push_back(std::make_unique<Balancer>(settings, clock, random));
        }
        return balancers;
    }

    void publish()
    {
        for (std::size_t service = 0; service < kServices; ++service) {
            std::vector<ServerView> views;
            for (std::size_t i = 0; i < services_[service].size(); ++i) {
                if (services_[service][i].isPresent) {
                    views.push_back(
                        {ServerName(std::to_string(i)), HostAddress(), Incarnation(1), FailureDomainName("domain")});
                }
            }
            for (EntryDaemon &daemon : entries_) {
                daemon.balancers[service]->update(views);
            }
            for (auto &servers : services_) {
                for (Server &server : servers) {
                    server.balancers[service]->update(views);
                }
            }
        }
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - random.fraction());
    }

    void scheduleTick()
    {
        events_.after(Millis{10}, [this] {
            for (std::size_t service = 0; service < kServices; ++service) {
                for (std::size_t i = 0; i < services_[service].size(); ++i) {
                    apply(services_[service][i].controller->tick());
                }
            }
            scheduleTick();
        });
    }

    void scheduleArrival(double perSecond, double swing)
    {
        constexpr double kPerMilli = 2 * 3.14159265358979 / 15000;
        const double rate = perSecond * (1 + swing * std::sin(clock.now().value * kPerMilli));
        events_.after(Millis{exponential(1000 / rate)}, [this, perSecond, swing] {
            if (clock.now() >= end_) {
                return;
            }
            const int classRank = drawClass();
            ++results.at(static_cast<std::size_t>(classRank)).owed;
            send(classRank, false);
            scheduleArrival(perSecond, swing);
        });
    }

    int drawClass()
    {
        double draw = random.fraction();
        int classRank = 0;
        while (classRank + 1 < kClasses && draw >= kClass.at(static_cast<std::size_t>(classRank)).share) {
            draw -= kClass.at(static_cast<std::size_t>(classRank)).share;
            ++classRank;
        }
        return classRank;
    }

    void send(int classRank, bool isReturn)
    {
        EntryDaemon &daemon = entries_[random.below(kEntries)];
        const auto root =
            std::make_shared<Root>(Root{classRank, static_cast<int>(random.below(kBucketsPerClass)), isReturn});
        if (!daemon.entry.admits(classRank, levelOf(classRank, root->bucket))) {
            comeBack(*root);
            return;
        }
        const Class &requestClass = kClass.at(static_cast<std::size_t>(classRank));
        call(daemon.balancers,
             {requestClass.service, root, clock.now() + requestClass.timeout, requestClass.own, false,
              [this, &daemon, root](Reply reply) {
                  daemon.entry.report(root->classRank, Level{reply.level});
                  finish(*root, reply);
              }});
    }

    void finish(const Root &root, Reply reply)
    {
        if (reply.isOk) {
            ++results.at(static_cast<std::size_t>(root.classRank)).served;
            bottomCallsOfServed += root.bottomCalls;
        } else if (reply.isNotRun) {
            comeBack(root);
        }
    }

    void comeBack(const Root &root)
    {
        if (!root.isReturn) {
            events_.after(kReturn * (0.5 + random.fraction()),
                          [this, classRank = root.classRank] { send(classRank, true); });
        }
    }

    void call(Balancers &balancers, Call call)
    {
        Balancer &balancer = *balancers[call.service];
        const Level level = call.isNested ? kHighestLevel : levelOf(call.root->classRank, call.root->bucket);
        const auto picked = balancer.pick(level, {});
        if (!picked) {
            call.done({false, true, balancer.admittedLevel().value});
            return;
        }
        balancer.started(*picked);
        const auto server = static_cast<std::size_t>(std::stoi(picked->value()));
        call.done = [this, &balancer, name = *picked, server, service = call.service,
                     done = std::move(call.done)](Reply reply) {
            const AdmissionController &controller = *services_[service][server].controller;
            AttemptFeedback feedback;
            feedback.level = controller.level();
            feedback.headroom = controller.headroom();
            feedback.limit = controller.limit();
            reply.level = std::max(reply.level, controller.level().value);
            events_.after(kHop, [&balancer, name, feedback, done, reply] {
                balancer.finished(name, feedback);
                done(reply);
            });
        };
        events_.after(kHop, [this, server, call = std::move(call)] { arrive(server, call); });
    }

    void arrive(std::size_t server, const Call &call)
    {
        const TicketId id(++lastId_);
        const Ticket ticket{id, call.root->classRank, call.root->bucket, {}, call.deadline, call.own, call.isNested};
        jobs_.emplace(id, Job{call, server});
        const Decision decision = services_[call.service][server].controller->arrive(ticket);
        if (decision.kind == Decision::Kind::RunNow) {
            start(id);
        } else if (decision.kind == Decision::Kind::Refused) {
            takeJob(id).call.done({false, true, 0});
        }
    }

    void apply(const Dispatch &dispatch)
    {
        for (const RefusedTicket &refused : dispatch.refused) {
            takeJob(refused.ticket.id).call.done({false, true, 0});
        }
        for (const Ticket &ticket : dispatch.started) {
            start(ticket.id);
        }
    }

    Job takeJob(TicketId id)
    {
        Job job = std::move(jobs_.at(id));
        jobs_.erase(id);
        return job;
    }

    void start(TicketId id)
    {
        Job &job = jobs_.at(id);
        const Call &call = job.call;
        job.started = clock.now();
        job.waitingSince = clock.now();
        if (call.service == kBottom) {
            ++bottomCalls;
            ++call.root->bottomCalls;
        }
        const double speed = services_[call.service][job.server].speed;
        const Millis own = call.own * ((0.5 + random.fraction()) / speed);
        const Millis left = call.deadline - clock.now();
        if (own >= left) {
            events_.after(left, [this, id] { end(id, Millis{0}, {}); });
            return;
        }
        events_.after(own, [this, id] {
            Job &running = jobs_.at(id);
            running.waitingSince = clock.now();
            const bool isBottom = running.call.service == kBottom;
            makeCalls(id, isBottom ? 0 : running.call.service == 0 ? 1 : kFanOut, 0);
        });
    }

    /** Makes the calls below a job that are left, one after the other; @p level is what those before met. */
    void makeCalls(TicketId id, int left, int level)
    {
        const Job &job = jobs_.at(id);
        const Millis waiting = clock.now() - job.waitingSince;
        if (left == 0 || clock.now() >= job.call.deadline) {
            end(id, waiting, {left == 0, false, level});
            return;
        }
        const std::size_t service = job.call.service + 1;
        const TimePoint deadline = std::min(job.call.deadline, clock.now() + kNestedTimeout.at(service));
        call(services_[job.call.service][job.server].balancers,
             {service, job.call.root, deadline, kNestedOwn.at(service), true, [this, id, left, level](Reply reply) {
                  const int highest = std::max(level, reply.level);
                  if (reply.isOk) {
                      makeCalls(id, left - 1, highest);
                      return;
                  }
                  end(id, clock.now() - jobs_.at(id).waitingSince, {false, false, highest});
              }});
    }

    void end(TicketId id, Millis waiting, Reply reply)
    {
        const Job job = takeJob(id);
        ServiceSample sample;
        sample.total = clock.now() - job.started;
        sample.waitingForChildren = waiting;
        sample.failed = !reply.isOk && waiting == Millis{0};
        apply(services_[job.call.service][job.server].controller->finished(id, sample));
        job.call.done(reply);
    }

    std::array<std::vector<Server>, kServices> services_;
    std::vector<EntryDaemon> entries_;
    ModelEvents events_{clock};
    std::map<TicketId, Job> jobs_;
    std::uint64_t lastId_ = 0;
    TimePoint end_;
};

} // namespace Hibiscus

#endif
