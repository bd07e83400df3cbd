#ifndef HIBISCUS_ROUTING_STARTMODEL_H
#define HIBISCUS_ROUTING_STARTMODEL_H

#include "admission/admissioncontroller.h"
#include "core/manualclock.h"
#include "routing/balancer.h"

#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hibiscus
{

/** Load and servers of a StartModel. Times are in ms. */
struct StartLoad {
    int servers = 6;
    int daemons = 80;
    int slots = 60;
    double serviceTime = 40;
    double perSecond = 1000; ///< Of all callers.
    double aim = 200; ///< Time within which a caller wants its response.
    double deadline = 1000;
};

/** What callers got. */
struct StartResult {
    int sent = 0, inTime = 0, late = 0, refused = 0, failed = 0;

    double share(int part) const
    {
        return sent == 0 ? 0 : static_cast<double>(part) / sent;
    }
};

/**
 * Servers that start and fail, each behind a real AdmissionController, and daemons that place Poisson arrivals with
 * balancers of their own and learn of the servers by responses only. A refused request is tried at two more servers.
 */
class StartModel
{
public:
    struct Server {
        std::unique_ptr<AdmissionController> gate{};
        ServerName name{};
        double coldUntil = 0;
        double coldFactor = 2;
        bool isUp = true;
        bool isSick = false; ///< Fails all requests.
        int process = 0;
        int started = 0; ///< Requests that it began, since the last call of takeStarted().
        double slowdown = 1, failing = 0;
    };

    explicit StartModel(const StartLoad &load)
        : load_(load)
        , servers(static_cast<std::size_t>(load.servers))
    {
        clock.advance(Millis{1000});
        for (int i = 0; i < load.servers; ++i) {
            replace(i);
        }
        for (int i = 0; i < load.daemons; ++i) {
            const BalancerSettings settings{ServerName("daemon" + std::to_string(i)), FailureDomainName("a")};
            balancers_.push_back(std::make_unique<Balancer>(settings, clock, random_));
        }
        publish();
        scheduleTick();
        scheduleArrival();
    }

    /** The server at place @p index is another one from now on, of which no daemon knows anything. */
    void replace(int index)
    {
        Server &server = at(index);
        server.gate =
            std::make_unique<AdmissionController>(AdmissionSettings{.slots = load_.slots, .classCount = 1}, clock);
        server.name = ServerName("s" + std::to_string(index) + "." + std::to_string(++names_));
        server.slowdown = 1;
        server.failing = 0;
        ++server.process;
    }

    /** The server's process starts; it is cold for @p coldMs, and says so. */
    void start(int index, double coldMs)
    {
        Server &server = at(index);
        server.isUp = true;
        server.coldUntil = clock.now().value + coldMs;
        server.slowdown = 1;
        server.failing = 0;
        server.gate->serverStarted(Millis{std::max(coldMs, 1.0)});
        apply(index, server.gate->setServerHealthy(true));
    }

    /** The server's process ends; what it ran is lost. */
    void stop(int index)
    {
        Server &server = at(index);
        server.isUp = false;
        ++server.process;
        apply(index, server.gate->setServerHealthy(false));
    }

    /** Daemons forget what they know, as after a loss of power. */
    void restartDaemons()
    {
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            const BalancerSettings settings{ServerName("daemon" + std::to_string(i)), FailureDomainName("a")};
            balancers_[i] = std::make_unique<Balancer>(settings, clock, random_);
        }
        publish();
    }

    void publish()
    {
        std::vector<ServerView> views;
        for (const Server &server : servers) {
            ServerView view;
            view.name = server.name;
            view.incarnation = Incarnation(1);
            view.domain = FailureDomainName("a");
            view.slots = load_.slots;
            views.push_back(view);
        }
        for (const auto &balancer : balancers_) {
            balancer->update(views);
        }
    }

    /** Results of the requests that were sent in the next @p milliseconds and ended in them. */
    StartResult run(double milliseconds)
    {
        result_ = {};
        const double end = clock.now().value + milliseconds;
        while (events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            clock.advance(Millis{event.at - clock.now().value});
            event.run();
        }
        clock.advance(Millis{end - clock.now().value});
        return result_;
    }

    /** Part of its equal share of the load that a server began since the last call. */
    double takeLoad(int index)
    {
        double all = 0;
        for (const Server &server : servers) {
            all += server.started;
        }
        const double part = at(index).started * static_cast<double>(servers.size()) / std::max(all, 1.0);
        for (Server &server : servers) {
            server.started = 0;
        }
        return part;
    }

    /** Time until @p index carries at least 0.8 of its equal share in a quarter of a second; at most 15 s. */
    double timeToFairShare(int index)
    {
        takeLoad(index);
        for (double elapsed = 250; elapsed <= 15000; elapsed += 250) {
            run(250);
            if (takeLoad(index) >= 0.8) {
                return elapsed;
            }
        }
        return 15000;
    }

    Server &at(int index)
    {
        return servers.at(static_cast<std::size_t>(index));
    }

    ManualClock clock;

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

    struct Request {
        std::size_t daemon;
        double sentAt;
        std::vector<ServerName> tried{};
        double startedAt = 0;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void after(double delay, std::function<void()> run)
    {
        events_.push({clock.now().value + delay, ++sequence_, std::move(run)});
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - random_.fraction());
    }

    void scheduleTick()
    {
        after(10, [this] {
            for (int i = 0; i < load_.servers; ++i) {
                apply(i, at(i).gate->tick());
            }
            scheduleTick();
        });
    }

    void scheduleArrival()
    {
        after(exponential(1000 / load_.perSecond), [this] {
            ++result_.sent;
            send(std::make_shared<Request>(Request{random_.below(balancers_.size()), clock.now().value}));
            scheduleArrival();
        });
    }

    int indexOf(const ServerName &name) const
    {
        for (std::size_t i = 0; i < servers.size(); ++i) {
            if (servers[i].name == name) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    void send(const RequestPtr &request)
    {
        const auto picked = balancers_[request->daemon]->pick({0}, request->tried);
        if (!picked || request->tried.size() >= 3) {
            ++result_.refused;
            return;
        }
        balancers_[request->daemon]->started(*picked);
        request->tried.push_back(*picked);
        const int index = indexOf(*picked);
        const TicketId id(++tickets_);
        Server &server = at(index);
        waiting_[id] = request;
        const TimePoint deadline{request->sentAt + load_.deadline};
        const Decision decision =
            server.gate->arrive({id, 0, static_cast<int>(random_.below(128)), {}, deadline, {load_.serviceTime}});
        if (decision.kind == Decision::Kind::RunNow) {
            begin(index, id);
        } else if (decision.kind == Decision::Kind::Refused) {
            refuse(index, id);
        }
    }

    void apply(int index, const Dispatch &dispatch)
    {
        for (const RefusedTicket &refused : dispatch.refused) {
            refuse(index, refused.ticket.id);
        }
        for (const Ticket &ticket : dispatch.started) {
            begin(index, ticket.id);
        }
    }

    void refuse(int index, TicketId id)
    {
        const RequestPtr request = take(id);
        report(index, request);
        send(request);
    }

    RequestPtr take(TicketId id)
    {
        const RequestPtr request = waiting_.at(id);
        waiting_.erase(id);
        return request;
    }

    void report(int index, const RequestPtr &request)
    {
        Server &server = at(index);
        AttemptFeedback feedback;
        feedback.level = server.gate->level();
        feedback.headroom = server.gate->headroom();
        feedback.limit = server.gate->limit();
        feedback.slowdown = server.slowdown;
        feedback.failingShare = server.failing;
        balancers_[request->daemon]->finished(request->tried.back(), feedback);
    }

    void begin(int index, TicketId id)
    {
        Server &server = at(index);
        ++server.started;
        waiting_.at(id)->startedAt = clock.now().value;
        const bool isCold = clock.now().value < server.coldUntil;
        const double usual = load_.serviceTime * (0.5 + random_.fraction());
        const double time = server.isSick ? 2 : usual * (isCold ? server.coldFactor : 1);
        after(time, [this, index, id, process = server.process] { end(index, id, process); });
    }

    void end(int index, TicketId id, int process)
    {
        Server &server = at(index);
        const RequestPtr request = take(id);
        const bool isLost = process != server.process || server.isSick;
        const double time = clock.now().value - request->startedAt;
        server.failing += ((isLost ? 1 : 0) - server.failing) / 32;
        server.slowdown += isLost ? 0 : (time / load_.serviceTime - server.slowdown) / 16;
        ServiceSample sample{.total = {time}, .waitingForChildren = {}, .failed = process != server.process};
        markFault(sample, isLost);
        apply(index, server.gate->finished(id, sample));
        report(index, request);
        const double age = clock.now().value - request->sentAt;
        ++(isLost ? result_.failed : age <= load_.aim ? result_.inTime : result_.late);
    }

    static void markFault(ServiceSample &sample, bool isFault)
    {
        sample.isServersFault = isFault;
    }

    StartLoad load_;
    SeededRandom random_{20261205};

public:
    std::vector<Server> servers;

private:
    std::vector<std::unique_ptr<Balancer>> balancers_;
    std::priority_queue<Event> events_;
    std::unordered_map<TicketId, RequestPtr> waiting_;
    std::uint64_t sequence_ = 0, tickets_ = 0, names_ = 0;
    StartResult result_;
};

} // namespace Hibiscus

#endif
